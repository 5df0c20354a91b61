//! Workers that announce themselves at the address of another one.

mod common;

use common::{Harness, step, task, worker};
use tarragon_dispatch::{Input, OrderOutcome, PollOutcome};
use tarragon_names::WorkerName;
use tarragon_workflow::WorkerRecord;
use yare::parameterized;

const HOLDER: &str = "w1";
const CLAIMANT: &str = "w2";

/// A leader of one worker at work, at whose address another one has announced itself.
fn claimed() -> Harness {
    let mut harness = Harness::new(&[worker(HOLDER, 8)]);
    harness.submit(1, vec![step(1, 4)]);
    harness.answer_starts(OrderOutcome::Accepted);
    let holder = worker(HOLDER, 8);
    let claim = WorkerRecord {
        address: holder.address.clone(),
        ..worker(CLAIMANT, 8)
    };
    harness.advance(20);
    harness.input(Input::AddressClaimed {
        holder: holder.incarnation,
        claim,
    });
    harness
}

fn recorded(harness: &Harness) -> Vec<WorkerName> {
    let workers = harness.workflow_state.workers().into_iter();
    let names = workers.map(|record| record.incarnation.worker);
    names.collect()
}

/// Guards against a task that runs twice, because the announcement of another writer removes a worker at
/// work.
#[test]
fn announcement_removes_no_worker_that_answers() {
    let mut harness = claimed();
    for _ in 0..2 {
        harness.answer_poll(HOLDER, &[(task(1, 0, 0), 1)], &[]);
        harness.advance(20);
    }
    assert_eq!(recorded(&harness), [WorkerName::from(HOLDER)]);
    assert_eq!(harness.lost_runs(), 0);
    // The worker has answered a call that was sent after the announcement, so that no longer counts.
    harness.finish_poll(HOLDER, PollOutcome::OtherIncarnation);
    assert_eq!(recorded(&harness), Vec::<WorkerName>::new());
}

/// Guards against a worker that has to repeat its announcement once the one that had its address before is
/// known to have ended.
#[test]
fn claimant_takes_the_place_of_a_worker_that_has_ended() {
    let mut harness = claimed();
    harness.finish_poll(HOLDER, PollOutcome::OtherIncarnation);
    assert_eq!(recorded(&harness), [WorkerName::from(CLAIMANT)]);
    assert_eq!(harness.lost_runs(), 1);
}

/// Guards against an announcement that ends runs because the worker is silent: its lease may go on.
#[parameterized(
    no_answer = { PollOutcome::Unanswered },
    not_sent = { PollOutcome::NotSent },
)]
fn silence_does_not_prove_an_announcement(outcome: PollOutcome) {
    let mut harness = claimed();
    harness.finish_poll(HOLDER, outcome);
    harness.advance(1_000);
    assert_eq!(recorded(&harness), [WorkerName::from(HOLDER)]);
    assert_eq!(harness.lost_runs(), 0);
}
