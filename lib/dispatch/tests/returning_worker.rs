//! A worker that was silent until its record was removed, and then returns as the same incarnation.

mod common;

use common::{Harness, incarnation, step, task, worker};
use tarragon_dispatch::{Input, OrderOutcome};
use tarragon_workflow::{Command, JobPhase, RunEnd, RunEvent, WorkerIncarnation, WorkerRecord};
use yare::parameterized;

const SILENT: &str = "w1";
const OTHER: &str = "w2";

/// Lets the only placed task fail on the worker that it was placed on, and returns that worker.
fn fail_placed_run(harness: &mut Harness, run: u32, number: u64) -> WorkerIncarnation {
    while harness.starts.is_empty() {
        answer_polls_of_other(harness);
        harness.advance(20);
    }
    let starts = harness.answer_starts(OrderOutcome::Accepted);
    assert_eq!((starts.len(), starts[0].run), (1, run));
    let incarnation = starts[0].incarnation.clone();
    let worker = incarnation.worker.as_str();
    let end = (number, task(1, 0, 0), run, RunEnd::Failed);
    while !has_open_poll(harness, worker) {
        harness.advance(20);
    }
    harness.answer_poll(worker, &[], &[end]);
    harness.advance(20);
    incarnation
}

fn has_open_poll(harness: &Harness, worker: &str) -> bool {
    let mut polls = harness.polls.iter();
    polls.any(|call| call.incarnation.worker.as_str() == worker)
}

fn answer_polls_of_other(harness: &mut Harness) {
    if has_open_poll(harness, OTHER) {
        harness.answer_poll(OTHER, &[], &[]);
    }
}

/// Lets the polls of the worker go unanswered until its record is removed.
fn silence_until_removed(harness: &mut Harness, incarnation: &WorkerIncarnation) {
    while harness.workflow_state.worker(&incarnation.worker).is_some() {
        if has_open_poll(harness, SILENT) {
            harness.time_out_poll(SILENT);
        }
        answer_polls_of_other(harness);
        harness.advance(20);
    }
}

/// Lets a worker return after its only run failed, the acknowledgement was lost and its record was
/// removed. It lists the end of the run again. Meanwhile the second run has failed elsewhere.
fn after_return(silent_worker: &WorkerRecord) -> Harness {
    let mut harness = Harness::new(std::slice::from_ref(silent_worker));
    harness.submit(1, vec![step(1, 1)]);
    let silent = fail_placed_run(&mut harness, 1, 1);
    harness.commit(Command::PutWorker(worker(OTHER, 8)));
    harness.advance(20);
    answer_polls_of_other(&mut harness);
    silence_until_removed(&mut harness, &silent);
    fail_placed_run(&mut harness, 2, 1);
    harness.commit(Command::PutWorker(silent_worker.clone()));
    harness.advance(20);
    harness.answer_poll(SILENT, &[], &[(1, task(1, 0, 0), 1, RunEnd::Failed)]);
    harness
}

/// The silent worker without the time of its start: nothing of its removed record is kept.
fn without_start_time() -> WorkerRecord {
    let mut record = worker(SILENT, 8);
    record.incarnation.started_ms = 0;
    record
}

/// Guards against a job that fails after two failed runs of three, because the worker of the first run
/// returns and lists its end again.
#[parameterized(
    same_incarnation = { worker(SILENT, 8) },
    no_start_time = { without_start_time() },
)]
fn end_listed_again_by_a_returning_worker_does_not_count(silent_worker: WorkerRecord) {
    let harness = after_return(&silent_worker);
    assert_eq!(harness.phase(1), Some(JobPhase::Running));
}

/// Guards against a sound worker that gets no tasks, because an end that it lists again counts as
/// another failure there.
#[parameterized(
    same_incarnation = { worker(SILENT, 8) },
    no_start_time = { without_start_time() },
)]
fn end_listed_again_does_not_pause_the_worker(silent_worker: WorkerRecord) {
    let mut harness = after_return(&silent_worker);
    harness.commit(Command::RemoveWorker(incarnation(OTHER)));
    harness.starts.clear();
    harness.submit(2, vec![step(1, 1)]);
    harness.advance(200);
    let mut starts = harness.starts.iter();
    assert!(starts.any(|order| order.task == task(2, 0, 0)));
}

/// Guards against an end that the log refused and that is never recorded, and against one that counts
/// twice for the health of its worker because it is listed again.
#[test]
fn refused_end_is_recorded_when_it_is_listed_again() {
    let mut harness = Harness::new(&[worker(SILENT, 8)]);
    harness.submit(1, vec![step(1, 1)]);
    harness.answer_starts(OrderOutcome::Accepted);
    harness.advance(20);
    let end = (1, task(1, 0, 0), 1, RunEnd::Failed);
    harness.is_log_paused = true;
    harness.answer_poll(SILENT, &[], &[end]);
    let failed_at = harness.now;
    harness.is_log_paused = false;
    let refused = std::mem::take(&mut harness.uncommitted);
    harness.input(Input::NotProposed(refused));
    harness.advance(20);
    harness.answer_poll(SILENT, &[], &[end]);
    let ends = harness.proposed.iter();
    let ends = ends.filter(|record| matches!(record, RunEvent::Ended { .. }));
    assert_eq!(ends.count(), 1);
    harness.starts.clear();
    while harness.starts.is_empty() {
        harness.advance(20);
    }
    let pause = harness.now - failed_at;
    assert!((900..1_200).contains(&pause), "paused for {pause} ms");
}

/// Guards against an operator who cannot tell an end that is listed again from a new one, or why a job
/// failed.
#[test]
fn log_tells_repeated_ends_and_failed_jobs() {
    let mut harness = after_return(&without_start_time());
    let repeated = harness.events_named("unexpected_end");
    assert_eq!(repeated.len(), 1);
    assert!(
        repeated[0].starts_with("failed, end number 1,"),
        "{repeated:?}"
    );
    assert_eq!(harness.events_named("job_failed"), [""; 0]);
    harness.starts.clear();
    harness.advance(2_000);
    let third = RunEvent::Ended {
        incarnation: incarnation(OTHER),
        number: 9,
        task: task(1, 0, 0),
        run: 3,
        end: RunEnd::Failed,
        checkpoint: None,
    };
    harness.commit(Command::RunEvents(vec![third.clone(), third]));
    let reasons = harness.events_named("job_failed");
    assert_eq!(reasons, ["3 failed runs of at most 3"]);
}
