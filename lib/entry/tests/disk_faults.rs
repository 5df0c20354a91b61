//! Seeded random restarts, full disks, lost disks and replaced hosts.
//!
//! `TARRAGON_SEEDS=FROM..TO` chooses the seeds.

mod common;

use std::time::Duration;

use common::{Cell, DISK_FAULT_KINDS, DiskFaults, seeds_or};
use tokio::time::sleep;

/// Number of faults in one run.
const FAULTS: usize = 14;

/// Guards against a cell that stays without a leader although a majority of its voters runs, beside
/// hosts that wait for room on their disks.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn cell_recovers_from_disk_faults_and_restarts() {
    for seed in seeds_or(&[1, 2]) {
        println!("seed {seed}");
        let cell = Cell::new(50 + (seed % 150) as u8);
        let mut run = DiskFaults::start(cell, seed).await;
        for _ in 0..FAULTS {
            run.fault(DISK_FAULT_KINDS).await;
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
