//! Seeded random restarts, full disks, lost disks and replaced hosts.
//!
//! `TARRAGON_SEEDS=FROM..TO` chooses the seeds.

mod common;

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use common::{Cell, seeds_or};
use rand_chacha::{
    ChaCha12Rng,
    rand_core::{Rng, SeedableRng},
};
use tarragon_entry::EntryHost;
use tokio::{
    task::JoinHandle,
    time::{Instant, sleep},
};

/// Number of faults in one run.
const FAULTS: usize = 14;

/// Time within which a cell with a majority of its voters has a leader that all its hosts know. Far
/// longer than the bound of 3 s, so that a busy machine fails no test.
const MAX_RECOVERY: Duration = Duration::from_secs(20);

/// Host without a disk.
const DISKLESS: u8 = 9;

struct Run {
    cell: Cell,
    rng: ChaCha12Rng,
    disks: BTreeSet<u8>,
    full: Option<(u8, JoinHandle<Arc<EntryHost>>)>,
    next_host: u8,
    history: Vec<String>,
}

impl Run {
    async fn start(seed: u64) -> Self {
        let mut run = Self {
            cell: Cell::new(50 + (seed % 150) as u8),
            rng: ChaCha12Rng::seed_from_u64(seed),
            disks: BTreeSet::from([1, 2, 3, 4]),
            full: None,
            next_host: 20,
            history: Vec::new(),
        };
        for host in [1, 2, 3, 4, DISKLESS] {
            let has_disk = host != DISKLESS;
            run.cell.start(host, has_disk, true, &[1, 2, 3]).await;
        }
        run.recover(true).await;
        run
    }

    fn below(&mut self, end: usize) -> usize {
        (self.rng.next_u32() as usize) % end
    }

    fn seeds(&self) -> Vec<u8> {
        self.disks.iter().rev().take(3).copied().collect()
    }

    fn pick(&mut self) -> u8 {
        let full = self.full.as_ref().map(|(host, _)| *host);
        let hosts = self.disks.iter().filter(|host| Some(**host) != full);
        let hosts = hosts.copied().collect::<Vec<_>>();
        hosts[self.below(hosts.len())]
    }

    async fn fault(&mut self) {
        let kind = self.below(6);
        let host = self.pick();
        self.history.push(format!("{kind} on {host}"));
        match kind {
            0 | 1 => self.restart(&[host]).await,
            2 => {
                let full = self.full.as_ref().map(|(host, _)| *host);
                let others = self.disks.iter().filter(|host| Some(**host) != full);
                let others = others.copied().collect::<Vec<_>>();
                self.restart(&others).await;
            }
            3 if self.full.is_none() => {
                self.recover(true).await;
                self.cell.stop_host(host);
                let seeds = self.seeds();
                self.full = Some((host, self.cell.start_on_full_disk(host, &seeds)));
            }
            3 => self.free().await,
            4 if self.full.is_none() => {
                self.recover(true).await;
                self.cell.stop_host(host);
                self.cell.wipe(host);
                let seeds = self.seeds();
                self.cell.start(host, true, false, &seeds).await;
            }
            5 if self.full.is_none() => {
                self.recover(true).await;
                self.cell.stop_host(host);
                self.disks.remove(&host);
                let new = self.next_host;
                self.next_host += 1;
                self.disks.insert(new);
                let seeds = self.seeds();
                self.cell.start(new, true, false, &seeds).await;
            }
            _ => {}
        }
    }

    async fn restart(&mut self, hosts: &[u8]) {
        for host in hosts {
            self.cell.stop_host(*host);
        }
        let pause = self.below(900) as u64;
        sleep(Duration::from_millis(pause)).await;
        let seeds = self.seeds();
        for host in hosts {
            self.cell.start(*host, true, false, &seeds).await;
        }
    }

    async fn free(&mut self) {
        if let Some((host, starting)) = self.full.take() {
            self.cell.free_disk(host, starting).await;
        }
    }

    /// Waits until all hosts know the leader and, if `is_whole`, all voters run.
    async fn recover(&mut self, is_whole: bool) {
        let started_at = Instant::now();
        while !(self.cell.all_ready()
            && self.cell.leader().is_some()
            && (!is_whole || self.cell.has_voters(3)))
        {
            assert!(
                started_at.elapsed() < MAX_RECOVERY,
                "no recovery after {:?}, full: {:?}",
                self.history,
                self.full.as_ref().map(|(host, _)| *host)
            );
            sleep(Duration::from_millis(50)).await;
        }
    }
}

/// Guards against a cell that stays without a leader although a majority of its voters runs, beside
/// hosts that wait for room on their disks.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn cell_recovers_from_disk_faults_and_restarts() {
    for seed in seeds_or(&[1, 2]) {
        println!("seed {seed}");
        let mut run = Run::start(seed).await;
        for _ in 0..FAULTS {
            run.fault().await;
            let pause = run.below(1_500) as u64;
            sleep(Duration::from_millis(pause)).await;
            if run.below(3) == 0 {
                run.recover(false).await;
            }
        }
        run.recover(false).await;
        run.free().await;
        run.recover(true).await;
        run.cell.stop();
    }
}
