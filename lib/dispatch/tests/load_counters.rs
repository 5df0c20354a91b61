//! Counters of idle capacity, stopped runs and times until the first placement.

mod common;

use common::{Harness, LOW_QUEUE, QUEUE, step, task, worker};
use tarragon_dispatch::OrderOutcome;
use tarragon_names::Millis;
use tarragon_workflow::{AdviceTerms, Command, JobKey, RunEnd, StepSpec};
use yare::parameterized;

/// Time within which the counters are reported, in milliseconds.
const REPORT_MS: u64 = 5_200;

/// Number in front of `what` in the last report.
fn count(harness: &Harness, what: &str) -> u64 {
    let reports = harness.events_named("load_counters");
    let report = reports.last().expect("a report");
    let before = report
        .split(what)
        .next()
        .filter(|before| before.len() < report.len());
    let number = before.and_then(|before| before.trim_end().rsplit(' ').next());
    number.map_or(0, |number| number.parse().expect("a number"))
}

/// Guards against capacity that stays idle for a step that waits for its tickets, unseen.
#[test]
fn reserved_capacity_that_is_idle_is_counted() {
    let terms = AdviceTerms {
        decide_us: 70_000,
        per_worker_us: 100,
        valid: Millis(1_500),
    };
    let mut harness = Harness::with_advice(&[worker("w1", 8)], Some(terms));
    harness.submit(1, vec![step(1, 8)]);
    harness.submit(2, vec![step(1, 8)]);
    harness.advance(40);
    harness.answer_advice_requests(&["w1"]);
    harness.advance(40);
    harness.answer_starts(OrderOutcome::Accepted);
    let first = task(1, 0, 0);
    harness.answer_poll("w1", &[(first, 1)], &[]);
    harness.advance(100);
    assert_eq!(harness.answer_advice_requests(&["w1"]).len(), 1);
    harness.advance(2_000);
    harness.answer_poll("w1", &[], &[(1, first, 1, RunEnd::Done)]);
    // The tickets of the second job have expired, and their renewal takes 500 ms.
    harness.advance(500);
    harness.answer_advice_requests(&["w1"]);
    harness.answer_starts(OrderOutcome::Accepted);
    harness.advance(REPORT_MS);
    let idle = count(&harness, "core-ms reserved");
    assert!((8 * 300..=8 * 700).contains(&idle), "{idle}");
}

/// Guards against capacity that stays idle for a gang that does not fit, unseen.
#[test]
fn claimed_capacity_that_is_idle_is_counted() {
    let workers = (0..10).map(|index| worker(&format!("w{index}"), 8));
    let mut harness = Harness::new(&workers.collect::<Vec<_>>());
    let long = StepSpec {
        estimate: Millis(600_000),
        ..step(9, 8)
    };
    harness.submit(1, vec![long]);
    harness.answer_starts(OrderOutcome::Accepted);
    harness.advance(REPORT_MS);
    assert_eq!(count(&harness, "claimed"), 0);
    let gang = StepSpec {
        gang: true,
        ..step(2, 8)
    };
    harness.submit(2, vec![gang]);
    harness.advance(1_000);
    harness.commit(Command::Cancel { job: JobKey(2) });
    harness.advance(REPORT_MS);
    let idle = count(&harness, "claimed");
    assert!((8 * 800..=8 * 1_200).contains(&idle), "{idle}");
}

/// Guards against runs that are stopped in numbers without a trace of the cause, and against a stop
/// that is counted twice.
#[parameterized(
    job_cancelled = { false, "job ended" },
    preempted = { true, "preempted" },
)]
fn stopped_runs_are_counted_by_cause(is_preempted: bool, cause: &str) {
    let mut harness = Harness::new(&[worker("w1", 8)]);
    let step = StepSpec {
        checkpointing: true,
        ..step(1, 8)
    };
    harness.submit_to(LOW_QUEUE, 1, vec![step.clone()]);
    harness.answer_starts(OrderOutcome::Accepted);
    harness.answer_poll("w1", &[(task(1, 0, 0), 1)], &[]);
    if is_preempted {
        harness.submit_to(QUEUE, 2, vec![step]);
    }
    harness.advance(100);
    harness.commit(Command::Cancel { job: JobKey(1) });
    harness.advance(REPORT_MS);
    assert_eq!(count(&harness, cause), 1);
    let report = harness.events_named("load_counters");
    let stops = report.last().expect("a report").matches(" stopped: 1 ");
    assert_eq!(stops.count(), 1, "{report:?}");
}

/// Guards against the wait of urgent jobs that hides among that of others, and against a retry or a
/// later step that counts as a first placement.
#[test]
fn times_to_the_first_placement_are_counted_by_priority() {
    let mut harness = Harness::new(&[worker("w1", 8)]);
    let later = StepSpec {
        depends_on: vec![0],
        ..step(1, 8)
    };
    harness.submit(1, vec![step(1, 8), later]);
    harness.answer_starts(OrderOutcome::Accepted);
    harness.submit_to(LOW_QUEUE, 2, vec![step(1, 8)]);
    harness.advance(500);
    harness.answer_poll("w1", &[], &[(1, task(1, 0, 0), 1, RunEnd::Failed)]);
    harness.advance(2_000);
    harness.answer_starts(OrderOutcome::Accepted);
    harness.answer_poll("w1", &[], &[(2, task(1, 0, 0), 2, RunEnd::Done)]);
    harness.advance(100);
    harness.answer_starts(OrderOutcome::Accepted);
    harness.answer_poll("w1", &[], &[(3, task(1, 1, 0), 1, RunEnd::Done)]);
    harness.advance(REPORT_MS);
    let reports = harness.events_named("load_counters");
    let report = reports.last().expect("a report");
    assert!(
        report.contains("first placed of priority 0: 1 in 0 ms"),
        "{report}"
    );
    let low = report.split("first placed of priority 2: ").nth(1);
    let low = low.expect("the job of the other queue");
    assert!(low.starts_with("1 in 2"), "{report}");
    assert!(low.contains("0 up to 1000 ms, 1 up to 3000 ms"), "{report}");
}
