//! Cells with jobs of many tasks.

mod common;

use std::time::Duration;

use common::{Cell, wait_until};
use tarragon_codes::Code;
use tarragon_entry::{Reply, Request};
use tokio::time::sleep;

/// Size of each disk in bytes; it leaves room for the progress of 24,576 tasks.
const DISK_BYTES: u64 = 5 << 20;

/// Size of a disk whose limit of the state is that of a host with 260 MB of memory, in bytes.
const SITE_DISK_BYTES: u64 = 260_000_000 / 3;

/// Number of tasks that are open on the busiest day of a site that is ten times as large as ours.
const LARGE_SITE_TASKS: u32 = 300_000;

async fn start(cell_number: u8, disk_bytes: u64) -> Cell {
    let mut cell = Cell::new(cell_number);
    cell.disk_bytes = Some(disk_bytes);
    for host in 1..=4 {
        cell.start(host, host <= 3, true, &[1, 2, 3]).await;
    }
    wait_until("the cell is ready", || cell.all_ready()).await;
    cell.configure(4).await;
    cell
}

fn submission(job: u32, tasks: u32) -> Request {
    let mut request = Cell::submission(&format!("{job:016x}"), "x");
    if let Request::Submit { spec, .. } = &mut request {
        spec.steps[0].count = tasks;
    }
    request
}

/// Guards against small jobs with many tasks, whose progress takes up more than the disk and the
/// memory once they are placed, and against a refusal that stays after the tasks are gone.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn tasks_of_all_jobs_are_bounded_together() {
    let mut cell = start(42, DISK_BYTES).await;
    for job in [1, 2] {
        assert_eq!(cell.call(4, submission(job, 10_000)).await, Reply::Done);
    }
    let refusal = cell.call_once(4, submission(3, 10_000)).await.unwrap_err();
    assert_eq!(refusal.code, Code::StateFull);
    assert!(refusal.retry_after_ms.is_some());
    // No time to come back is given for a job that never fits.
    let refusal = cell.call_once(4, submission(4, 30_000)).await.unwrap_err();
    assert_eq!(refusal.code, Code::TooLarge);
    // A caller that did not get the answer must not conclude that nothing happened.
    let resent = cell.call_once(4, submission(1, 10_000)).await;
    assert!(matches!(resent, Ok(Reply::Done)));
    let small = cell.call_once(4, submission(5, 4_000)).await;
    assert!(matches!(small, Ok(Reply::Done)));
    let cancellation = Cell::cancellation("0000000000000001");
    assert_eq!(cell.call(4, cancellation).await, Reply::Done);
    let mut attempts = 0;
    while cell.call_once(4, submission(3, 10_000)).await.is_err() {
        attempts += 1;
        assert!(attempts < 50, "refused although the tasks are cancelled");
        sleep(Duration::from_millis(100)).await;
    }
    cell.stop();
}

/// Guards against concurrent jobs that are all accepted because none of their entries is applied yet.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn tasks_of_concurrent_jobs_are_bounded_together() {
    let mut cell = start(43, DISK_BYTES).await;
    let submit = |job| cell.call_once(4, submission(job, 10_000));
    let (a, b, c, d) = tokio::join!(submit(1), submit(2), submit(3), submit(4));
    let answers = [a, b, c, d];
    let accepted = answers.iter().filter(|answer| answer.is_ok()).count();
    assert!(accepted <= 2, "{answers:?}");
    cell.stop();
}

/// Guards against a caller who is told that its job never runs (429, 503) although the same submission
/// was accepted: it arrived again before the entry of the first one was applied, and the first one held
/// the room for its tasks.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn submission_that_arrives_twice_takes_up_room_once() {
    let mut cell = start(45, DISK_BYTES).await;
    for job in 1..=10 {
        let submit = || cell.call_once(4, submission(job, 20_000));
        let (first, second) = tokio::join!(submit(), submit());
        assert!(matches!(first, Ok(Reply::Done)), "job {job}: {first:?}");
        assert!(matches!(second, Ok(Reply::Done)), "job {job}: {second:?}");
        let cancellation = Cell::cancellation(&format!("{job:016x}"));
        assert_eq!(cell.call(4, cancellation).await, Reply::Done);
    }
    cell.stop();
}

/// Guards against a bound that refuses jobs on the busiest day of a large site.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn tasks_of_a_large_site_are_accepted() {
    let mut cell = start(44, SITE_DISK_BYTES).await;
    let tasks = LARGE_SITE_TASKS / 10;
    for job in 1..=10 {
        let answer = cell.call_once(4, submission(job, tasks)).await;
        assert!(matches!(answer, Ok(Reply::Done)), "job {job}: {answer:?}");
    }
    cell.stop();
}
