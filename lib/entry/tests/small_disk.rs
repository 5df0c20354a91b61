//! Cells whose log grows by large configurations on small disks.

mod common;

use std::time::Duration;

use common::{Cell, wait_until};
use tarragon_entry::{Reply, Request};
use tokio::time::timeout;

/// Size of each disk in bytes.
const DISK_BYTES: u64 = 4 << 20;

/// Size of each configuration in bytes.
const CONFIGURATION_BYTES: usize = 60_000;

/// Number of configurations: together they are larger than half of a disk.
const CONFIGURATIONS: u64 = 45;

/// Time after which a start counts as failed; far longer than expected.
const START_TIMEOUT: Duration = Duration::from_secs(20);

/// Guards against a start that needs room for a second log: all voters hold the same log, so after a
/// common restart none of them would ever start again.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn cell_returns_after_a_restart_of_all_voters_with_a_large_log() {
    let mut cell = Cell::new(45);
    cell.disk_bytes = Some(DISK_BYTES);
    for host in 1..=4 {
        cell.start(host, host <= 3, true, &[1, 2, 3]).await;
    }
    wait_until("the cell is ready", || cell.all_ready()).await;
    let text = "x".repeat(CONFIGURATION_BYTES);
    for version in 1..=CONFIGURATIONS {
        cell.put_configuration(1, version, &format!("{text}{version}"))
            .await;
    }
    cell.stop();
    for host in 1..=4 {
        let starting = cell.start(host, host <= 3, false, &[1, 2, 3]);
        let started = timeout(START_TIMEOUT, starting).await;
        assert!(started.is_ok(), "host {host} does not start");
    }
    wait_until("the cell is back", || cell.all_ready()).await;
    let expected = format!("{text}{CONFIGURATIONS}");
    let read = cell.call(4, Request::ReadConfiguration).await;
    assert_eq!(read, Reply::Configuration(expected.as_str().into()));
    cell.stop();
}
