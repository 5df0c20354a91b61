//! Runs that no poll has listed when the leader is lost together with their worker.

mod common;

use common::{Cause, Cell, wait_until};
use tarragon_names::{Millis, Name, Resources, WorkerName};
use tarragon_workflow::StepSpec;

/// Number of events with this name on the running hosts and the stopped ones.
fn event_count(cell: &Cell, name: &str) -> usize {
    let events = cell.events().values();
    events.map(|events| events.count(name)).sum()
}

/// Guards against a run that a new leader declares lost with the lease of the recorded incarnation,
/// because hosts that follow do not learn which runs were placed lately: the worker may have restarted
/// unnoticed, and holds a longer lease.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn run_that_was_placed_before_an_election_outlasts_the_recorded_lease() {
    let mut cell = Cell::ready(63).await;
    cell.configure(4).await;
    cell.start_worker(4, "m-1", "w-1", "here").await;
    let step = StepSpec {
        count: 1,
        resources: Resources::new(1_000, 1_000, 0),
        estimate: Millis(60_000),
        label: Some(Name::from("here")),
        ..StepSpec::default()
    };
    cell.submit(4, "00000000000000f1", step).await;
    wait_until("the task runs", || cell.platform.workers.run_count() == 1).await;
    let leader = cell.leader().expect("a host leads");
    let workers = &cell.platform.workers;
    workers.end(&WorkerName::from("w-1"), Cause::Crash);
    cell.stop_host(leader);
    let is_over = || event_count(&cell, "worker_lease_over") > 0;
    wait_until("the recorded lease is over", is_over).await;
    assert_eq!(event_count(&cell, "run_lost"), 0);
    wait_until("the run is lost", || event_count(&cell, "run_lost") > 0).await;
    cell.stop();
}
