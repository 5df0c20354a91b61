//! Workers whose next incarnation names an earlier start time, because their wall clock went back.

mod common;

use common::{EPOCH_MS, Harness, first_runs, step, task, worker};
use tarragon_dispatch::{Input, OrderOutcome, PollAnswer, PollOutcome};
use tarragon_names::Millis;
use tarragon_workflow::{Command, JobPhase, StepSpec, TaskKey, WorkerIncarnation, WorkerRecord};
use yare::parameterized;

const NAME: &str = "w1";

/// Difference between the start times of the two incarnations, in milliseconds.
const CLOCK_STEP_MS: u64 = 60_000;

/// Longest lease that a worker takes, in milliseconds; a longer one is shortened to it.
const MAX_LEASE_MS: u64 = 10_000;

/// Time within which a poll is sent again after the log refused a command, in milliseconds.
const MAX_POLL_PAUSE_MS: u64 = 8_000;

/// Incarnation with the later start time.
fn first() -> WorkerRecord {
    worker(NAME, 8)
}

/// Incarnation that follows it, with the earlier start time.
fn next() -> WorkerRecord {
    let mut record = worker(NAME, 8);
    record.incarnation.started_ms = EPOCH_MS - CLOCK_STEP_MS;
    record
}

/// Lets the next incarnation answer a poll for `polled` with these runs.
fn answer_poll_for(harness: &mut Harness, polled: &WorkerIncarnation, running: &[TaskKey]) {
    let answer = PollAnswer {
        started_ms: Some(next().incarnation.started_ms),
        clock_ms: harness.now,
        running: first_runs(running),
        finished: Vec::new(),
        is_truncated: false,
    };
    let mut polls = harness.polls.iter();
    let at = polls.position(|call| call.incarnation == *polled);
    let call = harness.polls.remove(at.expect("a poll should be open"));
    harness.input(Input::PollFinished {
        fence: call.fence,
        incarnation: call.incarnation,
        outcome: PollOutcome::Answered(answer),
    });
}

/// Lets the next incarnation answer the open poll for the first one.
fn answer_as_next(harness: &mut Harness) {
    answer_poll_for(harness, &first().incarnation, &[]);
    harness.advance(20);
}

fn announce(harness: &mut Harness, record: WorkerRecord) {
    harness.commit(Command::PutWorker(record));
    harness.advance(20);
}

fn recorded(harness: &Harness) -> Option<WorkerIncarnation> {
    let record = harness.workflow_state.worker(&first().incarnation.worker);
    record.map(|record| record.incarnation)
}

fn long_step() -> StepSpec {
    StepSpec {
        estimate: Millis(60_000),
        ..step(1, 4)
    }
}

/// Guards against a worker that gets no tasks until its former incarnation is removed for its silence,
/// and against runs that the next incarnation has accepted and that are declared lost meanwhile.
#[test]
fn next_incarnation_is_recorded_with_its_first_heartbeat() {
    let mut harness = Harness::new(&[first()]);
    harness.submit(1, vec![long_step()]);
    harness.answer_starts(OrderOutcome::Accepted);
    answer_as_next(&mut harness);
    announce(&mut harness, next());
    assert_eq!(recorded(&harness), Some(next().incarnation));
    assert_eq!(harness.lost_runs(), 0, "the run is looked for first");
    let stops = harness.answer_stops(OrderOutcome::Accepted);
    let stops = stops.iter().map(|stop| (&stop.incarnation, stop.task));
    let expected = next().incarnation;
    assert_eq!(stops.collect::<Vec<_>>(), [(&expected, task(1, 0, 0))]);
    answer_poll_for(&mut harness, &next().incarnation, &[task(1, 0, 0)]);
    harness.advance(100);
    assert_eq!(harness.lost_runs(), 0, "the first poll has listed the run");
    let refused = harness.event_count("run_refused_after_restart");
    assert_eq!(refused, 1);
}

/// Guards against a run that goes on while its task runs again elsewhere: the next incarnation may hold
/// the longest lease, which a call for the one before has granted.
#[parameterized(
    replaced = { false },
    removed_before = { true },
)]
fn longest_lease_is_counted_after_a_restart(is_removed: bool) {
    let mut harness = Harness::new(&[first()]);
    if is_removed {
        harness.commit(Command::RemoveWorker(first().incarnation));
    } else {
        answer_as_next(&mut harness);
    }
    announce(&mut harness, next());
    answer_poll_for(&mut harness, &next().incarnation, &[]);
    let reached_at = harness.now;
    harness.submit(1, vec![long_step()]);
    harness.answer_starts(OrderOutcome::Accepted);
    assert_eq!(harness.phase(1), Some(JobPhase::Running));
    while harness.lost_runs() == 0 {
        if !harness.polls.is_empty() {
            harness.time_out_poll(NAME);
        }
        harness.advance(20);
        assert!(
            harness.now < reached_at + 2 * MAX_LEASE_MS,
            "the task waits"
        );
    }
    let ends_at = reached_at + MAX_LEASE_MS;
    assert!(harness.now >= ends_at, "{} before {ends_at}", harness.now);
}

/// What becomes of the record of the first incarnation before the next one is recorded.
#[derive(Clone, Copy, Eq, PartialEq)]
enum Former {
    Stays,
    IsRemoved,
}

/// Guards against a delayed heartbeat that brings back an incarnation that has ended: the runs of the
/// present one are declared lost while they go on.
#[parameterized(
    replaced = { Former::Stays, false },
    removed = { Former::IsRemoved, false },
    replaced_and_new_leader = { Former::Stays, true },
    removed_and_new_leader = { Former::IsRemoved, true },
)]
fn late_heartbeat_of_the_former_incarnation_has_no_effect(former: Former, has_new_leader: bool) {
    let mut harness = Harness::new(&[first()]);
    answer_as_next(&mut harness);
    if has_new_leader {
        harness.elect_new_leader();
    }
    if former == Former::IsRemoved {
        harness.commit(Command::RemoveWorker(first().incarnation));
    }
    announce(&mut harness, first());
    announce(&mut harness, next());
    assert_eq!(recorded(&harness), Some(next().incarnation));
    announce(&mut harness, first());
    assert_eq!(recorded(&harness), Some(next().incarnation));
}

/// Guards against a start time that is taken for a proof: a delayed heartbeat of an incarnation that was
/// never recorded replaces the one that followed it.
#[test]
fn incarnation_returns_after_a_late_heartbeat_of_one_that_was_never_recorded() {
    let mut harness = Harness::new(&[next()]);
    announce(&mut harness, first());
    assert_eq!(recorded(&harness), Some(first().incarnation));
    answer_as_next(&mut harness);
    announce(&mut harness, next());
    assert_eq!(recorded(&harness), Some(next().incarnation));
    announce(&mut harness, first());
    assert_eq!(recorded(&harness), Some(next().incarnation));
}

/// Guards against a heartbeat of an earlier incarnation that counts only because the recorded one has
/// ended.
#[test]
fn heartbeat_of_a_third_incarnation_is_no_proof() {
    let mut harness = Harness::new(&[first()]);
    answer_as_next(&mut harness);
    let mut third = next();
    third.incarnation.started_ms -= 1;
    announce(&mut harness, third);
    assert_eq!(recorded(&harness), Some(first().incarnation));
    announce(&mut harness, next());
    assert_eq!(recorded(&harness), Some(next().incarnation));
}

/// Guards against a worker that stays shut out because the log refused the record of the order.
#[test]
fn order_of_the_incarnations_is_proposed_again_after_the_log_refused_it() {
    let mut harness = Harness::new(&[first()]);
    harness.is_log_paused = true;
    answer_as_next(&mut harness);
    let refused = std::mem::take(&mut harness.uncommitted);
    harness.input(Input::NotProposed(refused));
    harness.is_log_paused = false;
    let refused_at = harness.now;
    while harness.polls.is_empty() {
        assert!(harness.now < refused_at + MAX_POLL_PAUSE_MS);
        harness.advance(20);
    }
    answer_as_next(&mut harness);
    announce(&mut harness, next());
    assert_eq!(recorded(&harness), Some(next().incarnation));
}

/// Guards against commands that hosts of an earlier release cannot read while hosts of two releases run,
/// unless they are needed.
#[test]
fn order_of_incarnations_that_their_start_times_tell_is_not_recorded() {
    let mut harness = Harness::new(&[next()]);
    harness.is_log_paused = true;
    let answer = PollAnswer {
        started_ms: Some(first().incarnation.started_ms),
        clock_ms: 0,
        running: Vec::new(),
        finished: Vec::new(),
        is_truncated: false,
    };
    harness.finish_poll(NAME, PollOutcome::Answered(answer));
    assert_eq!(harness.event_count("worker_restarted"), 1);
    assert_eq!(harness.uncommitted, Vec::new());
}

/// Guards against a log that grows with each answer of the next incarnation.
#[test]
fn order_of_two_incarnations_is_recorded_once() {
    let mut harness = Harness::new(&[first()]);
    answer_as_next(&mut harness);
    harness.is_log_paused = true;
    let answered_at = harness.now;
    while harness.polls.is_empty() {
        assert!(harness.now < answered_at + MAX_POLL_PAUSE_MS);
        harness.advance(20);
    }
    answer_as_next(&mut harness);
    assert_eq!(harness.uncommitted, Vec::new());
}

/// Lets the recorded incarnation answer its open poll without runs.
fn answer_as_recorded(harness: &mut Harness) {
    harness.answer_poll(NAME, &[], &[]);
    harness.advance(20);
}

/// Guards against a delayed heartbeat that brings back an incarnation whose record was removed before the
/// next one announced itself, so that no poll for it was answered.
#[parameterized(
    same_leader = { false },
    new_leader = { true },
)]
fn late_heartbeat_of_an_incarnation_that_was_removed_for_its_silence_has_no_effect(
    has_new_leader: bool,
) {
    let mut harness = Harness::new(&[first()]);
    harness.time_out_poll(NAME);
    harness.commit(Command::RemoveWorker(first().incarnation));
    announce(&mut harness, next());
    answer_as_recorded(&mut harness);
    answer_as_recorded(&mut harness);
    if has_new_leader {
        harness.elect_new_leader();
    }
    announce(&mut harness, first());
    assert_eq!(recorded(&harness), Some(next().incarnation));
}

/// Guards against a worker that is shut out because of an answer to a poll that was sent before it had
/// announced itself.
#[test]
fn answer_to_a_poll_from_before_a_removal_proves_nothing() {
    let mut harness = Harness::new(&[next()]);
    announce(&mut harness, first());
    harness.commit(Command::RemoveWorker(first().incarnation));
    announce(&mut harness, next());
    let of_next = next().incarnation;
    answer_poll_for(&mut harness, &of_next, &[]);
    announce(&mut harness, first());
    assert_eq!(recorded(&harness), Some(first().incarnation));
}
