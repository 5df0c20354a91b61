//! Cells whose log grows by large configurations on small disks.

mod common;

use std::time::Duration;

use common::{Cell, wait_until};
use tarragon_codes::Code;
use tarragon_entry::{Reply, Request};
use tokio::time::{sleep, timeout};
use yare::parameterized;

/// Size of each disk in bytes.
const DISK_BYTES: u64 = 4 << 20;

/// Size of each configuration in bytes.
const CONFIGURATION_BYTES: usize = 60_000;

/// Size of the payload of each job in bytes.
const JOB_BYTES: usize = 60_000;

/// Time after which a start counts as failed; far longer than expected.
const START_TIMEOUT: Duration = Duration::from_secs(20);

/// Guards against a start that needs room for a second log, and against a log that grows until the
/// disk is full: all voters hold the same log, so none of them would ever start again.
#[parameterized(
    log_above_half_of_the_disk = { 45, 45 },
    configurations_above_three_disks = { 46, 220 },
)]
#[test_macro(tokio::test(flavor = "multi_thread", worker_threads = 4))]
async fn cell_returns_after_a_restart_of_all_voters(cell_number: u8, configurations: u64) {
    let mut cell = Cell::new(cell_number);
    cell.disk_bytes = Some(DISK_BYTES);
    for host in 1..=4 {
        cell.start(host, host <= 3, true, &[1, 2, 3]).await;
    }
    wait_until("the cell is ready", || cell.all_ready()).await;
    let text = "x".repeat(CONFIGURATION_BYTES);
    for version in 1..=configurations {
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
    let expected = format!("{text}{configurations}");
    let read = cell.call(4, Request::ReadConfiguration).await;
    assert_eq!(read, Reply::Configuration(expected.as_str().into()));
    cell.stop();
}

/// Guards against jobs that are accepted until no voter has room for the next snapshot, and against
/// a full state that refuses what makes room.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn full_state_refuses_jobs_and_takes_cancellations() {
    let mut cell = Cell::new(47);
    cell.disk_bytes = Some(DISK_BYTES);
    for host in 1..=4 {
        cell.start(host, host <= 3, true, &[1, 2, 3]).await;
    }
    wait_until("the cell is ready", || cell.all_ready()).await;
    cell.configure(4).await;
    let mut accepted = Vec::new();
    let refusal = loop {
        let job = format!("{:016x}", accepted.len());
        let request = Cell::submission(&job, &"x".repeat(JOB_BYTES));
        match cell.call_once(4, request).await {
            Ok(_) => accepted.push(job),
            Err(failure) => break failure,
        }
        assert!(accepted.len() * JOB_BYTES < DISK_BYTES as usize);
    };
    assert_eq!(refusal.code, Code::StateFull);
    assert!(refusal.retry_after_ms.is_some());
    for job in &accepted {
        assert_eq!(cell.call(4, Cell::cancellation(job)).await, Reply::Done);
    }
    // Cancelled jobs take up no room in the next snapshot.
    let mut attempts = 0;
    let request = Cell::submission("00000000000000ff", &"x".repeat(JOB_BYTES));
    while cell.call_once(4, request.clone()).await.is_err() {
        attempts += 1;
        assert!(
            attempts < 50,
            "no job is accepted although all others are cancelled"
        );
        sleep(Duration::from_millis(100)).await;
    }
    cell.stop();
}
