//! Choice of the worker for a task, and restarts of tasks that take too long.

mod common;

use common::{Harness, step, task, worker};
use tarragon_dispatch::OrderOutcome;
use tarragon_names::Millis;
use tarragon_workflow::{AdviceTerms, RunEnd, StepSpec};
use yare::parameterized;

fn terms() -> AdviceTerms {
    AdviceTerms {
        decide_us: 10_000,
        per_worker_us: 100,
        valid: Millis(1_500),
    }
}

/// Guards against a gang that waits for ever because it was overdue once on every approved worker.
#[test]
fn gang_can_return_to_workers_that_it_was_moved_from() {
    let workers = [worker("w1", 8), worker("w2", 8)];
    let mut harness = Harness::with_advice(&workers, Some(terms()));
    let gang = StepSpec {
        gang: true,
        ..step(2, 8)
    };
    harness.submit(1, vec![gang]);
    harness.answer_advice_requests(&["w1", "w2"]);
    assert_eq!(harness.answer_starts(OrderOutcome::Accepted).len(), 2);
    let (a, b) = (task(1, 0, 0), task(1, 0, 1));
    let reports = [("w1", a, 1), ("w2", b, 1)];
    harness.advance_with_progress(6_000, &reports, |_| 0);
    assert_eq!(harness.answer_stops(OrderOutcome::Accepted).len(), 2);
    harness.answer_poll("w1", &[], &[(1, a, 1, RunEnd::Stopped)]);
    harness.answer_poll("w2", &[], &[(1, b, 1, RunEnd::Stopped)]);
    harness.advance(200);
    harness.answer_advice_requests(&["w1", "w2"]);
    assert_eq!(
        harness.starts.len(),
        2,
        "both members of the gang start again"
    );
}

/// Guards against a task that is moved again and again, so that it never ends: its worker reports no
/// progress, because the estimate is too low or the reported progress too coarse.
#[test]
fn run_without_a_report_gets_more_time_each_time_it_is_moved() {
    let mut harness = Harness::new(&[worker("w1", 8)]);
    harness.submit(1, vec![step(1, 4)]);
    let a = task(1, 0, 0);
    let mut times = Vec::new();
    for run in 1..4 {
        harness.answer_starts(OrderOutcome::Accepted);
        let began = harness.now;
        while harness.stops.is_empty() && harness.now < began + 60_000 {
            harness.advance(100);
        }
        times.push(harness.now - began);
        harness.answer_stops(OrderOutcome::Accepted);
        harness.answer_poll("w1", &[], &[(u64::from(run), a, run, RunEnd::Stopped)]);
        harness.advance(20);
    }
    // Three times the estimate of 1 s, plus 2 s, doubled with each run. The dispatcher checks for
    // overdue runs every 100 ms, and the test advances in steps of 100 ms.
    for (time, limit) in times.iter().zip([5_000, 10_000, 20_000]) {
        assert!((limit..limit + 300).contains(time), "{times:?}");
    }
}

/// Guards against a run that stands still and is found only long after its estimate, and against one
/// that is moved for ever because its progress is reported too coarsely.
#[test]
fn run_without_progress_gets_more_time_each_time_it_is_moved() {
    let mut harness = Harness::new(&[worker("w1", 8)]);
    harness.submit(1, vec![step(1, 4)]);
    let a = task(1, 0, 0);
    let mut times = Vec::new();
    for run in 1..4 {
        harness.answer_starts(OrderOutcome::Accepted);
        let began = harness.now;
        harness.advance_with_progress(60_000, &[("w1", a, run)], |_| 30);
        times.push(harness.now - began);
        harness.answer_stops(OrderOutcome::Accepted);
        harness.answer_poll("w1", &[], &[(u64::from(run), a, run, RunEnd::Stopped)]);
        harness.advance(20);
    }
    // The limit of 1.5 s, doubled with each run, after a first report at 0.5 s; reports come every
    // 0.6 s, and the dispatcher checks every 0.1 s.
    for (time, limit) in times.iter().zip([2_000, 3_500, 6_500]) {
        assert!((limit..limit + 800).contains(time), "{times:?}");
    }
}

/// Replays estimates that are far too low, as callers give them. Guards against the restart of work
/// that is getting on: a gang on many workers would lose the work of all of them.
#[parameterized(
    single = { false, 1 },
    gang = { true, 2 },
    after_a_restart = { false, 3 },
)]
fn run_that_makes_progress_is_not_moved(is_gang: bool, count: u32) {
    let mut harness = Harness::new(&[worker("w1", 8)]);
    harness.submit(
        1,
        vec![StepSpec {
            gang: is_gang,
            ..step(count, 2)
        }],
    );
    assert_eq!(
        harness.answer_starts(OrderOutcome::Accepted).len(),
        count as usize
    );
    let reports = (0..count).map(|index| ("w1", task(1, 0, index), 1));
    let reports = reports.collect::<Vec<_>>();
    // The estimate is 1 s, and the run takes 40 s.
    harness.advance_with_progress(38_000, &reports, |passed| passed / 400);
    assert!(harness.stops.is_empty(), "{:?}", harness.stops);
}

/// Guards against more work for a worker on which all runs hang.
#[test]
fn worker_with_several_late_jobs_gets_no_more_work() {
    let mut harness = Harness::new(&[worker("w1", 8), worker("w2", 8)]);
    harness.submit(1, vec![step(1, 4)]);
    harness.submit(2, vec![step(1, 4)]);
    let starts = harness.answer_starts(OrderOutcome::Accepted);
    let on = starts[0].incarnation.worker.to_string();
    assert!(
        starts
            .iter()
            .all(|order| order.incarnation.worker.as_str() == on)
    );
    let reports = [
        (on.as_str(), task(1, 0, 0), 1),
        (on.as_str(), task(2, 0, 0), 1),
    ];
    harness.advance_with_progress(2_400, &reports, |passed| passed.min(1_500) / 100);
    harness.submit(3, vec![step(1, 1)]);
    assert_eq!(harness.starts.len(), 1);
    assert_ne!(harness.starts[0].incarnation.worker.as_str(), on);
}

/// Guards against a start with an expired ticket, and against other steps that take the capacity
/// while the ticket is renewed.
#[test]
fn capacity_stays_reserved_while_an_expired_ticket_is_renewed() {
    let mut harness = Harness::with_advice(&[worker("w1", 8)], Some(terms()));
    harness.submit(1, vec![step(1, 8)]);
    harness.submit(2, vec![step(1, 8)]);
    harness.advance(40);
    harness.answer_advice_requests(&["w1"]);
    harness.advance(40);
    assert_eq!(harness.answer_starts(OrderOutcome::Accepted).len(), 1);
    let first = task(1, 0, 0);
    harness.answer_poll("w1", &[(first, 1)], &[]);
    harness.advance(2_000);
    harness.advice_requests.clear();
    harness.answer_poll("w1", &[], &[(1, first, 1, RunEnd::Done)]);
    harness.advance(40);
    assert!(harness.starts.is_empty());
    assert_eq!(harness.advice_requests.len(), 1);
    harness.submit(3, vec![step(1, 8)]);
    harness.advance(20);
    harness.answer_advice_requests(&["w1"]);
    assert_eq!(harness.starts.len(), 1);
    assert_eq!(harness.starts[0].task, task(2, 0, 0));
    assert!(harness.starts[0].ticket.is_some());
}

/// Guards against capacity that stays idle for the duration of a long request after it became free.
#[test]
fn tickets_of_a_long_request_are_renewed_while_the_step_waits() {
    let long = AdviceTerms {
        decide_us: 650_000,
        per_worker_us: 9_200,
        valid: Millis(1_500),
    };
    let mut harness = Harness::with_advice(&[worker("w1", 8)], Some(long));
    harness.submit(1, vec![step(1, 8)]);
    harness.advance(40);
    harness.answer_advice_requests(&["w1"]);
    harness.advance(40);
    assert_eq!(harness.answer_starts(OrderOutcome::Accepted).len(), 1);
    let first = task(1, 0, 0);
    harness.answer_poll("w1", &[(first, 1)], &[]);
    harness.submit(2, vec![step(1, 8)]);
    for _ in 0..4 {
        harness.advance(700);
        assert_eq!(
            harness.answer_advice_requests(&["w1"]).len(),
            1,
            "the tickets are renewed"
        );
    }
    harness.answer_poll("w1", &[], &[(1, first, 1, RunEnd::Done)]);
    harness.advance(20);
    assert_eq!(
        harness.starts.len(),
        1,
        "the ticket is valid when the capacity is free"
    );
}

/// Guards against a leader that moves all runs after a pause because they look overdue, although
/// they ended during the pause.
#[test]
fn runs_are_not_judged_right_after_a_pause_of_the_leader() {
    let mut harness = Harness::new(&[worker("w1", 8)]);
    harness.submit(1, vec![step(1, 4)]);
    harness.answer_starts(OrderOutcome::Accepted);
    let a = task(1, 0, 0);
    harness.answer_poll("w1", &[(a, 1)], &[]);
    harness.is_sole_leader = false;
    harness.advance(8_000);
    harness.is_sole_leader = true;
    harness.advance(200);
    assert!(harness.stops.is_empty(), "{:?}", harness.stops);
    harness.answer_poll("w1", &[], &[(1, a, 1, RunEnd::Done)]);
    harness.advance(3_000);
    assert!(harness.stops.is_empty());
}
