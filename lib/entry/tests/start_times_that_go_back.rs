//! Heartbeats of workers whose wall clock went back between two of their starts.

mod common;

use std::time::Duration;

use common::Cell;
use tarragon_entry::{Request, WorkerReport};
use tarragon_names::WorkerName;
use tokio::time::{Instant, sleep};

/// Difference between the start times of the two incarnations, in milliseconds.
const CLOCK_STEP_MS: u64 = 60_000;

/// Time after which a wait fails.
const MAX_TIME: Duration = Duration::from_secs(60);

/// Time between two heartbeats of a worker.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(200);

/// A cell that is ready, with a queue.
async fn configured_cell(number: u8) -> Cell {
    let cell = Cell::ready(number).await;
    cell.configure(4).await;
    cell
}

/// Number of events with this name on all hosts.
fn event_count(cell: &Cell, name: &str) -> usize {
    let events = cell.events().values();
    events.map(|events| events.count(name)).sum()
}

/// Heartbeat of an incarnation that starts after that of `report` and names an earlier start time.
fn next(report: &WorkerReport) -> WorkerReport {
    let mut next = report.clone();
    next.record.incarnation.started_ms -= CLOCK_STEP_MS;
    next
}

/// Repeats the heartbeat of an incarnation, as a worker does, until a leader answers.
async fn announce(cell: &Cell, report: &WorkerReport) {
    let announce = || cell.try_call(4, Request::Announce(report.clone()));
    while announce().await.is_none() {
        sleep(HEARTBEAT_INTERVAL).await;
    }
}

/// Sends heartbeats of an incarnation until one has changed its record.
async fn announce_until_taken(cell: &Cell, report: &WorkerReport) {
    let taken = event_count(cell, "worker_announced");
    let mut report = report.clone();
    let started_at = Instant::now();
    while event_count(cell, "worker_announced") == taken {
        assert!(started_at.elapsed() < MAX_TIME, "the heartbeat is refused");
        announce(cell, &report).await;
        report.sequence += 1;
        sleep(HEARTBEAT_INTERVAL).await;
    }
}

/// Guards against a restarted worker whose heartbeats have no effect until its former incarnation is
/// removed for its silence, and against a delayed heartbeat of the former one that then counts.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn restarted_worker_is_recorded_before_its_former_incarnation_is_removed() {
    let mut cell = configured_cell(61).await;
    cell.platform.workers.let_calls_name_workers();
    let former = cell.place_worker("m-1", "w1", "a");
    announce_until_taken(&cell, &former).await;
    let next = next(&former);
    cell.platform.workers.start(&next.record.incarnation);
    announce_until_taken(&cell, &next).await;
    assert_eq!(event_count(&cell, "worker_gone"), 0);
    let taken = event_count(&cell, "worker_announced");
    announce(&cell, &former).await;
    assert_eq!(event_count(&cell, "worker_announced"), taken);
    cell.stop();
}

/// Guards against a worker that stays shut out by one with a later start time that had its address before.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn worker_takes_over_the_address_of_another_one() {
    let mut cell = configured_cell(62).await;
    let former = cell.place_worker("m-1", "w1", "a");
    announce_until_taken(&cell, &former).await;
    // Calls for the worker that had the address meet an incarnation that they are not meant for.
    let mut next = next(&former);
    cell.platform.workers.start(&next.record.incarnation);
    next.record.incarnation.worker = WorkerName::from("w2");
    cell.platform.workers.start(&next.record.incarnation);
    announce_until_taken(&cell, &next).await;
    assert!(event_count(&cell, "worker_gone") > 0);
    cell.stop();
}
