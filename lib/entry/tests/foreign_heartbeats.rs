//! Heartbeats of other writers that name the address or the name of a worker.

mod common;

use std::time::Duration;

use common::{Cell, wait_until};
use tarragon_entry::{Request, WorkerReport};
use tarragon_names::{Millis, Name, PoolName, Resources, WorkerName};
use tarragon_workflow::StepSpec;
use tokio::time::sleep;
use yare::parameterized;

/// Time for which nothing may happen: longer than a few polls and an election take.
const QUIET_TIME: Duration = Duration::from_millis(1_500);

/// What a heartbeat names that is not its own.
#[derive(Clone, Copy, Eq, PartialEq)]
enum Foreign {
    /// A pool of no configuration, with a new name at the address of a worker.
    PoolAtAddress,
    /// A pool of no configuration, with the name of a worker and a later start.
    PoolOfNextIncarnation,
    /// A pool of no configuration, with the name and the start of a worker.
    PoolOfIncarnation,
    /// The address of a worker, in its pool.
    Address,
}

fn foreign_report(own: &WorkerReport, foreign: Foreign) -> WorkerReport {
    let mut report = own.clone();
    report.sequence += 1;
    if foreign != Foreign::Address {
        report.record.pool = PoolName::from("other");
    }
    match foreign {
        Foreign::PoolAtAddress | Foreign::Address => {
            report.record.incarnation.worker = WorkerName::from("w-2");
            report.record.incarnation.started_ms += 1_000;
        }
        Foreign::PoolOfNextIncarnation => report.record.incarnation.started_ms += 1_000,
        Foreign::PoolOfIncarnation => {}
    }
    report
}

fn event_count(cell: &Cell, name: &str) -> usize {
    let events = cell.events().values();
    events.map(|events| events.count(name)).sum()
}

/// Guards against a task that runs twice, because a heartbeat that is not from a worker removes one that
/// is at work.
#[parameterized(
    pool_at_address = { 64, Foreign::PoolAtAddress },
    pool_of_next_incarnation = { 65, Foreign::PoolOfNextIncarnation },
    pool_of_incarnation = { 66, Foreign::PoolOfIncarnation },
    address = { 67, Foreign::Address },
)]
#[test_macro(tokio::test(flavor = "multi_thread", worker_threads = 4))]
async fn foreign_heartbeat_has_no_effect(number: u8, foreign: Foreign) {
    let mut cell = Cell::ready(number).await;
    cell.configure(4).await;
    let own = cell.place_worker("m-1", "w-1", "here");
    cell.call(4, Request::Announce(own.clone())).await;
    let step = StepSpec {
        count: 1,
        resources: Resources::new(1_000, 1_000, 0),
        estimate: Millis(60_000),
        label: Some(Name::from("here")),
        ..StepSpec::default()
    };
    cell.submit(4, "00000000000000f1", step).await;
    wait_until("the task runs", || cell.platform.workers.run_count() == 1).await;
    let report = foreign_report(&own, foreign);
    let answer = cell.call_once(4, Request::Announce(report)).await;
    assert_eq!(answer.is_err(), foreign != Foreign::Address);
    sleep(QUIET_TIME).await;
    let unseated = event_count(&cell, "worker_unseated");
    let lost = event_count(&cell, "run_lost");
    assert_eq!((unseated, lost), (0, 0));
    assert_eq!(cell.platform.workers.start_count(), 1);
    cell.stop();
}

/// Guards against workers that stay unknown because they announce themselves before the first
/// configuration.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn worker_may_come_before_its_configuration() {
    let mut cell = Cell::ready(68).await;
    let own = cell.place_worker("m-1", "w-1", "here");
    cell.call(4, Request::Announce(own)).await;
    cell.configure(4).await;
    cell.submit(
        4,
        "00000000000000f1",
        StepSpec {
            count: 1,
            ..StepSpec::default()
        },
    )
    .await;
    wait_until("the task runs", || cell.platform.workers.run_count() == 1).await;
    cell.stop();
}
