//! Orders of a leader whose lease has lapsed, or that has been replaced.

mod common;

use common::{Harness, incarnation, step, task, worker};
use tarragon_dispatch::{FencingToken, FinishedOrder, Input, OrderOutcome, Refusal, RunStatus};
use tarragon_names::Millis;
use tarragon_workflow::{StepSpec, TaskKey};
use yare::parameterized;

/// Answers the open poll with the task of job 1 over its target, the best-effort task of job 2, and a run
/// that the leader does not expect.
fn answer_poll_with_cause_for_orders(harness: &mut Harness) {
    let status = |task: TaskKey, tail_ms| RunStatus {
        task,
        run: 1,
        checkpoint: None,
        percent: 100,
        usage_or_tail_ms: Some(tail_ms),
    };
    let statuses = vec![
        status(task(1, 0, 0), 150),
        status(task(2, 0, 0), 0),
        status(task(3, 0, 0), 0),
    ];
    harness.answer_poll_with("w1", statuses, &[]);
}

/// Guards against orders that a poll brings about after the lease has lapsed: another host may lead and
/// may have placed the run that this one does not expect.
#[test]
fn orders_after_a_poll_wait_until_the_lease_is_regained() {
    let mut harness = Harness::new(&[worker("w1", 8)]);
    let latency_sensitive = StepSpec {
        long_running: true,
        target_latency: Some(Millis(100)),
        ..step(1, 4)
    };
    let best_effort = StepSpec {
        best_effort: true,
        ..step(1, 8)
    };
    harness.submit(1, vec![latency_sensitive]);
    harness.submit(2, vec![best_effort]);
    harness.answer_starts(OrderOutcome::Accepted);

    harness.is_sole_leader = false;
    answer_poll_with_cause_for_orders(&mut harness);
    harness.advance(200);
    assert!(harness.throttles.is_empty(), "{:?}", harness.throttles);
    assert!(harness.stops.is_empty(), "{:?}", harness.stops);
    assert_eq!(harness.event_count("orders_withheld"), 1);

    harness.is_sole_leader = true;
    harness.advance(200);
    answer_poll_with_cause_for_orders(&mut harness);
    assert_eq!(harness.throttles.len(), 1);
    assert_eq!(harness.stops.len(), 1);
    assert_eq!(harness.event_count("orders_withheld"), 1);
}

/// Result of an order that was sent in the term 1.
fn refused_start() -> Input {
    Input::StartOrderFinished(FinishedOrder {
        fence: FencingToken::new(1, 1),
        incarnation: incarnation("w1"),
        task: task(1, 0, 0),
        run: 1,
        outcome: OrderOutcome::Refused(Refusal::Fence),
    })
}

fn refused_stop() -> Input {
    Input::StopOrderFinished(FinishedOrder {
        fence: FencingToken::new(1, 1),
        incarnation: incarnation("w1"),
        task: task(1, 0, 0),
        run: 1,
        outcome: OrderOutcome::Refused(Refusal::Fence),
    })
}

fn refused_rate() -> Input {
    Input::ThrottleOrderFinished(FinishedOrder {
        fence: FencingToken::new(1, 1),
        incarnation: incarnation("w1"),
        task: task(1, 0, 0),
        run: 1,
        outcome: OrderOutcome::Refused(Refusal::Fence),
    })
}

/// Guards against a stale leader that operators cannot see: most refusals of its term come when it has
/// learned of its successor.
#[parameterized(
    start_while_it_leads = { refused_start(), true },
    start_after_it_was_replaced = { refused_start(), false },
    stop_after_it_was_replaced = { refused_stop(), false },
    rate_while_it_leads = { refused_rate(), true },
    rate_after_it_was_replaced = { refused_rate(), false },
)]
fn order_that_is_refused_for_its_term_is_counted(result: Input, is_leader: bool) {
    let mut harness = Harness::new(&[worker("w1", 8)]);
    if !is_leader {
        harness.input(Input::LostLeadership);
    }
    harness.input(result);
    assert_eq!(harness.event_count("order_refused_for_term"), 1);
}
