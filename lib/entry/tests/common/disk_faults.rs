use std::{collections::BTreeSet, sync::Arc, time::Duration};

use rand_chacha::{
    ChaCha12Rng,
    rand_core::{Rng, SeedableRng},
};
use tarragon_entry::EntryHost;
use tokio::{
    task::JoinHandle,
    time::{Instant, sleep},
};

use super::Cell;

/// Time within which a cell with a majority of its voters has a leader that all its hosts know. Far
/// longer than the bound of 3 s, so that a busy machine fails no test.
const MAX_RECOVERY: Duration = Duration::from_secs(20);

/// Longest pause of the leader in milliseconds; most pauses cost it its lease.
const MAX_PAUSE_MS: usize = 4_000;

/// Number of kinds of faults that concern hosts and their disks.
pub const DISK_FAULT_KINDS: usize = 6;

/// Number of all kinds of faults, which include pauses of the leader, and disks that become full while
/// their hosts run. The latter need limited disks.
pub const FAULT_KINDS: usize = 8;

/// Host without a disk.
pub const DISKLESS: u8 = 9;

/// Seeded faults of the hosts of one cell: four with disks and one without.
pub struct DiskFaults {
    pub cell: Cell,
    rng: ChaCha12Rng,
    disks: BTreeSet<u8>,
    full: Option<(u8, JoinHandle<Arc<EntryHost>>)>,
    /// Running host whose disk is full.
    running_full: Option<u8>,
    next_host: u8,
    /// Kind and host of each fault so far.
    pub history: Vec<String>,
}

impl DiskFaults {
    /// Starts the hosts of `cell` and waits until they are ready.
    pub async fn start(cell: Cell, seed: u64) -> Self {
        let mut run = Self {
            cell,
            rng: ChaCha12Rng::seed_from_u64(seed),
            disks: BTreeSet::from([1, 2, 3, 4]),
            full: None,
            running_full: None,
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

    /// Draws a number below `end`.
    pub fn below(&mut self, end: usize) -> usize {
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

    /// Causes one of the first `kinds` kinds of faults.
    pub async fn fault(&mut self, kinds: usize) {
        let kind = self.below(kinds);
        let host = self.pick();
        // A second disk that fails beside a full one would leave no majority.
        if matches!(kind, 3..=5) {
            self.make_room();
        }
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
            6 => self.pause_leader(),
            7 if self.full.is_none() && self.running_full.is_none() => {
                self.cell.fill_disk(host);
                self.running_full = Some(host);
            }
            7 => self.make_room(),
            _ => {}
        }
    }

    async fn restart(&mut self, hosts: &[u8]) {
        for host in hosts {
            self.cell.stop_host(*host);
        }
        let pause = self.below(900) as u64;
        sleep(Duration::from_millis(pause)).await;
        // A start would wait for room.
        if self.running_full.is_some_and(|full| hosts.contains(&full)) {
            self.make_room();
        }
        let seeds = self.seeds();
        for host in hosts {
            self.cell.start(*host, true, false, &seeds).await;
        }
    }

    fn pause_leader(&mut self) {
        let pause = self.below(MAX_PAUSE_MS) as u64;
        if let Some(leader) = self.cell.leader() {
            self.cell.clock(leader).jump(Duration::from_millis(pause));
        }
    }

    fn make_room(&mut self) {
        if let Some(host) = self.running_full.take() {
            self.cell.make_room(host);
        }
    }

    /// Gives the full disks room again, if there are any.
    pub async fn free(&mut self) {
        self.make_room();
        if let Some((host, starting)) = self.full.take() {
            self.cell.free_disk(host, starting).await;
        }
    }

    /// Waits until all hosts know the leader and, if `is_whole`, all voters run.
    pub async fn recover(&mut self, is_whole: bool) {
        let started_at = Instant::now();
        while !(self.cell.all_ready()
            && self.cell.leader().is_some()
            && (!is_whole || self.cell.has_voters(3)))
        {
            assert!(
                started_at.elapsed() < MAX_RECOVERY,
                "no recovery after {:?}, full: {:?}, full while running: {:?}",
                self.history,
                self.full.as_ref().map(|(host, _)| *host),
                self.running_full
            );
            sleep(Duration::from_millis(50)).await;
        }
    }
}
