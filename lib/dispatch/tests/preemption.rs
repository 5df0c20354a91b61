//! Preemption of less urgent runs for urgent steps.

mod common;

use std::collections::BTreeSet;

use common::{Harness, LOW_QUEUE, step, task, worker};
use tarragon_dispatch::{OrderOutcome, StopOrder};
use tarragon_names::Millis;
use tarragon_workflow::{AdviceTerms, RunEnd, StepSpec};
use yare::parameterized;

fn resumable(count: u32, cores: u64) -> StepSpec {
    StepSpec {
        checkpointing: true,
        estimate: Millis(4_000),
        ..step(count, cores)
    }
}

/// A step whose objective leaves time for preempted runs to end.
fn urgent(cores: u64) -> StepSpec {
    StepSpec {
        estimate: Millis(4_000),
        ..step(1, cores)
    }
}

fn gang(count: u32, cores: u64) -> StepSpec {
    StepSpec {
        gang: true,
        estimate: Millis(4_000),
        ..step(count, cores)
    }
}

/// A harness with one worker that is filled by a run of the low queue.
fn harness_filled_by(low: StepSpec) -> Harness {
    let mut harness = Harness::new(&[worker("w1", 8)]);
    harness.submit_to(LOW_QUEUE, 1, vec![low]);
    assert_eq!(harness.answer_starts(OrderOutcome::Accepted).len(), 1);
    harness.answer_poll("w1", &[(task(1, 0, 0), 1)], &[]);
    harness
}

/// Guards against urgent work that waits behind runs that could resume later.
#[test]
fn urgent_step_preempts_a_resumable_run() {
    let mut harness = harness_filled_by(resumable(1, 7));
    harness.submit(2, vec![urgent(8)]);
    assert_eq!(harness.answer_stops(OrderOutcome::Accepted).len(), 1);
    assert!(
        harness.starts.is_empty(),
        "a run that is being stopped still occupies its capacity"
    );
    // A job of the low queue must not take the capacity freed by preemption.
    harness.submit_to(LOW_QUEUE, 3, vec![step(1, 4)]);
    harness.answer_poll("w1", &[], &[(1, task(1, 0, 0), 1, RunEnd::Stopped)]);
    harness.advance(20);
    let starts = harness.answer_starts(OrderOutcome::Accepted);
    assert_eq!(starts.len(), 1);
    assert_eq!(starts[0].task, task(2, 0, 0));
}

/// Guards against preemption that discards work, breaks a gang or stops a long-running task.
#[parameterized(
    run_without_checkpoint = { StepSpec { checkpointing: false, ..resumable(1, 7) } },
    member_of_a_gang = { StepSpec { gang: true, ..resumable(1, 7) } },
    long_running_task = { StepSpec { long_running: true, ..resumable(1, 7) } },
)]
fn run_that_cannot_resume_is_not_preempted(low: StepSpec) {
    let mut harness = harness_filled_by(low);
    harness.submit(2, vec![urgent(8)]);
    harness.advance(100);
    assert!(harness.stops.is_empty());
}

/// Guards against runs that are stopped for a gang that does not fit even afterwards.
#[test]
fn no_run_is_stopped_for_a_gang_that_would_still_not_fit() {
    let mut harness = harness_filled_by(resumable(1, 7));
    harness.submit(2, vec![gang(2, 8)]);
    harness.advance(100);
    assert!(harness.stops.is_empty());
}

/// Guards against preemption on more workers than a gang needs.
#[test]
fn gang_uses_free_capacity_before_preemption() {
    let mut harness = Harness::new(&[worker("w1", 8), worker("w2", 8)]);
    harness.submit_to(LOW_QUEUE, 1, vec![resumable(3, 4)]);
    let starts = harness.answer_starts(OrderOutcome::Accepted);
    assert_eq!(starts.len(), 3);
    for name in ["w1", "w2"] {
        let there = starts
            .iter()
            .filter(|s| s.incarnation.worker.as_str() == name);
        let there = there.map(|s| (s.task, 1)).collect::<Vec<_>>();
        harness.answer_poll(name, &there, &[]);
    }
    harness.submit(2, vec![gang(2, 4)]);
    let stops = harness.answer_stops(OrderOutcome::Accepted);
    assert_eq!(
        stops.len(),
        1,
        "one of the two tasks fits without preemption"
    );
    let worker = stops[0].incarnation.worker.to_string();
    let left = starts
        .iter()
        .filter(|s| s.incarnation.worker.as_str() == worker && s.task != stops[0].task)
        .map(|s| (s.task, 1))
        .collect::<Vec<_>>();
    harness.answer_poll(&worker, &left, &[(1, stops[0].task, 1, RunEnd::Stopped)]);
    harness.advance(20);
    let started = harness.answer_starts(OrderOutcome::Accepted);
    let of_gang = started.iter().filter(|s| s.task.step.job.0 == 2).count();
    assert_eq!(of_gang, 2);
}

/// Guards against a task that is preempted again and again and never ends.
#[test]
fn task_is_preempted_at_most_three_times() {
    let mut harness = harness_filled_by(resumable(1, 7));
    let low = task(1, 0, 0);
    let mut number = 0;
    let mut stopped = 0;
    for round in 0..5_u64 {
        let job = task(2 + round, 0, 0);
        harness.submit(2 + round, vec![urgent(8)]);
        let stops = harness.answer_stops(OrderOutcome::Accepted);
        if stops.is_empty() {
            break;
        }
        stopped += 1;
        number += 1;
        harness.answer_poll("w1", &[], &[(number, low, stops[0].run, RunEnd::Stopped)]);
        harness.advance(20);
        harness.answer_starts(OrderOutcome::Accepted);
        number += 1;
        harness.answer_poll("w1", &[], &[(number, job, 1, RunEnd::Done)]);
        harness.advance(20);
        let again = harness.answer_starts(OrderOutcome::Accepted);
        assert_eq!(again[0].task, low);
        harness.answer_poll("w1", &[(low, again[0].run)], &[]);
    }
    assert_eq!(stopped, 3);
}

/// Guards against runs that are stopped for a job whose objective passes before they have ended.
#[parameterized(
    long_job = { 4_000, 1 },
    short_job = { 500, 0 },
)]
fn runs_are_stopped_only_for_a_job_that_can_meet_its_objective(estimate_ms: u64, expected: usize) {
    let mut harness = harness_filled_by(resumable(1, 7));
    // The objective is 0.5 s after twice the estimate; stopping a run takes up to 1.1 s in this
    // test.
    let job = StepSpec {
        estimate: Millis(estimate_ms),
        ..step(1, 8)
    };
    harness.submit(2, vec![job]);
    harness.advance(200);
    assert_eq!(harness.stops.len(), expected);
}

/// Guards against preemption for a step whose tickets expire before the capacity is free.
#[test]
fn preemption_for_a_step_with_advice_waits_for_the_answer() {
    let terms = AdviceTerms {
        decide_us: 10_000,
        per_worker_us: 100,
        valid: Millis(1_500),
    };
    let mut harness = Harness::with_advice(&[worker("w1", 8), worker("w2", 8)], Some(terms));
    harness.submit_to(LOW_QUEUE, 1, vec![resumable(2, 7)]);
    harness.answer_advice_requests(&["w1", "w2"]);
    let starts = harness.answer_starts(OrderOutcome::Accepted);
    assert_eq!(starts.len(), 2);
    for start in &starts {
        harness.answer_poll(start.incarnation.worker.as_str(), &[(start.task, 1)], &[]);
    }
    harness.submit(2, vec![urgent(8)]);
    assert!(
        harness.stops.is_empty(),
        "no run is stopped before a worker is approved"
    );
    harness.answer_advice_requests(&["w2"]);
    let stops = harness.answer_stops(OrderOutcome::Accepted);
    assert_eq!(stops.len(), 1);
    assert_eq!(stops[0].incarnation.worker.as_str(), "w2");
}

/// Guards against stops that do not get through and are followed by ever more of them: preemption
/// pauses until the stop orders are accepted.
#[test]
fn preemption_pauses_while_stops_are_not_accepted() {
    let workers = (0..20).map(|i| worker(&format!("w{i:02}"), 8));
    let workers = workers.collect::<Vec<_>>();
    let mut harness = Harness::new(&workers);
    harness.submit_to(LOW_QUEUE, 1, vec![resumable(20, 7)]);
    for start in harness.answer_starts(OrderOutcome::Accepted) {
        let name = start.incarnation.worker.to_string();
        harness.answer_poll(&name, &[(start.task, 1)], &[]);
    }
    harness.submit(2, vec![gang(12, 8)]);
    let stops = harness.answer_stops(OrderOutcome::Unanswered);
    let stopped = stops.iter().map(|order| order.task);
    let stopped = stopped.collect::<BTreeSet<_>>();
    assert_eq!(stopped.len(), 12);
    harness.advance(1_000);
    assert!(!harness.answer_stops(OrderOutcome::NotSent).is_empty());
    harness.advance(300);
    harness.answer_stops(OrderOutcome::NotSent);
    harness.submit(3, vec![urgent(8)]);
    let is_repeated = |order: &StopOrder| stopped.contains(&order.task);
    assert!(harness.stops.iter().all(is_repeated), "a further run stops");
    let mut accepted = 0;
    while accepted < 12 {
        harness.advance(100);
        accepted += harness.answer_stops(OrderOutcome::Accepted).len();
    }
    harness.advance(200);
    harness.stops.clear();
    harness.submit(4, vec![urgent(8)]);
    assert!(!harness.stops.is_empty(), "preemption resumes");
}
