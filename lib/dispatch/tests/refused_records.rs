//! Records of ends that the log refuses.

mod common;

use common::{Harness, incarnation, step, task, worker};
use tarragon_dispatch::{Input, OrderOutcome};
use tarragon_workflow::{Command, JobPhase, RunEnd};
use yare::parameterized;

const NAME: &str = "w1";

fn next_incarnation() -> Command {
    let mut record = worker(NAME, 8);
    record.incarnation.started_ms += 1;
    Command::PutWorker(record)
}

fn removal() -> Command {
    Command::RemoveWorker(incarnation(NAME))
}

/// Guards against a task that waits for ever for the end of its run, because the log refused the record
/// of the end and the worker that listed it no longer exists.
#[parameterized(
    worker_restarts = { next_incarnation() },
    worker_is_removed = { removal() },
)]
fn end_is_proposed_again_after_its_worker_is_gone(change: Command) {
    let mut harness = Harness::new(&[worker(NAME, 8)]);
    harness.submit(1, vec![step(1, 1)]);
    harness.answer_starts(OrderOutcome::Accepted);
    harness.is_log_paused = true;
    harness.answer_poll(NAME, &[], &[(1, task(1, 0, 0), 1, RunEnd::Done)]);
    let refused = std::mem::take(&mut harness.uncommitted);
    harness.commit(change);
    harness.input(Input::NotProposed(refused));
    harness.resume_log();
    harness.advance(100);
    assert_eq!(harness.phase(1), Some(JobPhase::Completed));
}
