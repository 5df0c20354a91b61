//! Polls that are open while the record of their worker is removed.

mod common;

use common::{Harness, incarnation, step, task, worker};
use tarragon_dispatch::OrderOutcome;
use tarragon_workflow::Command;

const WORKER: &str = "w1";

/// Lets the record of a worker be removed while a poll is open, and the worker announce itself again.
fn after_return() -> Harness {
    let mut harness = Harness::new(&[worker(WORKER, 8)]);
    harness.advance(20);
    assert_eq!(harness.polls.len(), 1);
    harness.commit(Command::RemoveWorker(incarnation(WORKER)));
    harness.commit(Command::PutWorker(worker(WORKER, 8)));
    harness.advance(20);
    harness
}

/// Guards against a run that is declared lost while it runs: with two polls open at once, each answer
/// was taken for that of the poll after it, so an answer that was given before a run began seemed to be
/// asked for after its start.
#[test]
fn answer_given_before_the_start_of_a_run_does_not_end_it() {
    let mut harness = after_return();
    harness.answer_poll(WORKER, &[], &[]);
    harness.advance(20);
    // Answers to all polls that are open now are given before the start.
    let early = harness.polls.len();
    harness.submit(1, vec![step(1, 1)]);
    harness.advance(200);
    assert_eq!(harness.answer_starts(OrderOutcome::Accepted).len(), 1);
    for _ in 0..early {
        harness.advance(20);
        harness.answer_poll(WORKER, &[], &[]);
    }
    harness.advance(20);
    assert_eq!(harness.lost_runs(), 0);
    harness.answer_poll(WORKER, &[(task(1, 0, 0), 1)], &[]);
    assert!(harness.stops.is_empty());
}

/// Guards against a worker that counts as silent on its return, because a poll from before the removal
/// of its record goes unanswered.
#[test]
fn poll_from_before_the_removal_is_the_only_open_one() {
    let harness = after_return();
    assert_eq!(harness.polls.len(), 1);
}
