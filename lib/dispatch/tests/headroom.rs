//! Capacity that is left free for more urgent steps.

mod common;

use common::{Harness, LOW_QUEUE, step, worker};
use tarragon_dispatch::OrderOutcome;
use tarragon_names::Millis;
use tarragon_workflow::{AdviceTerms, JobKey, StepSpec};

/// A harness with 40 workers of 8 cores.
fn harness_with(advice: Option<AdviceTerms>) -> Harness {
    let workers = (0..40).map(|i| worker(&format!("w{i:02}"), 8));
    Harness::with_advice(&workers.collect::<Vec<_>>(), advice)
}

/// Accepts the starts that were sent and returns their number.
fn accept_starts(harness: &mut Harness) -> usize {
    harness.answer_starts(OrderOutcome::Accepted).len()
}

/// Replays short urgent steps that arrive beside less urgent work that would fill the pool. Guards
/// against urgent work that has to wait for the end of other work: capacity that is freed by
/// preemption comes too late for it.
#[test]
fn urgent_arrivals_find_free_capacity_beside_a_backlog() {
    let mut harness = harness_with(None);
    for job in 0..8 {
        harness.submit(job, vec![step(2, 4)]);
        harness.advance(100);
    }
    let urgent = accept_starts(&mut harness);
    assert_eq!(urgent, 16);
    for job in 100..180 {
        harness.submit_to(LOW_QUEUE, job, vec![step(1, 4)]);
    }
    let others = accept_starts(&mut harness);
    assert!(others >= 50, "{others} less urgent tasks start");
    harness.submit(200, vec![step(2, 4)]);
    assert_eq!(accept_starts(&mut harness), 2, "urgent work starts at once");
}

/// Replays a small, less urgent step beside a gang that needs more than is free. Guards against a
/// gang that waits for ever because others take each freed piece, and against the others waiting for
/// ever: after a quarter of the time until their objective they ask for workers.
#[test]
fn waiting_gang_is_not_overtaken_by_less_urgent_work() {
    let terms = AdviceTerms {
        decide_us: 10_000,
        per_worker_us: 100,
        valid: Millis(1_500),
    };
    let mut harness = harness_with(Some(terms));
    harness.submit(1, vec![step(38, 8)]);
    let names = (0..40).map(|i| format!("w{i:02}")).collect::<Vec<_>>();
    let names = names.iter().map(String::as_str).collect::<Vec<_>>();
    harness.answer_advice_requests(&names);
    assert_eq!(accept_starts(&mut harness), 38);
    let gang = StepSpec {
        gang: true,
        ..step(6, 8)
    };
    harness.submit(2, vec![gang]);
    harness.answer_advice_requests(&[]);
    harness.submit_to(LOW_QUEUE, 3, vec![step(2, 4)]);
    let asks = |harness: &Harness| {
        let mut requests = harness.advice_requests.iter();
        requests.any(|request| request.step.job == JobKey(3))
    };
    harness.advance(100);
    assert!(!asks(&harness), "the free capacity is left to the gang");
    harness.advance(8_000);
    assert!(asks(&harness), "the other work has waited long");
}
