//! Answers to start orders that come after the orders have counted as unanswered.

mod common;

use common::{Harness, step, task, worker};
use tarragon_dispatch::{FinishedOrder, Input, OrderOutcome, Refusal, StartOrder};
use tarragon_workflow::RunEnd;
use yare::parameterized;

const NAME: &str = "w1";

/// Time within which the repeat of an unanswered order is sent and answered.
const REPEAT_MS: u64 = 100;

fn finished(order: &StartOrder, outcome: OrderOutcome) -> FinishedOrder {
    FinishedOrder {
        fence: order.fence,
        incarnation: order.incarnation.clone(),
        task: order.task,
        run: order.run,
        outcome,
    }
}

/// A leader whose only start order has counted as unanswered, and that order.
fn with_an_unanswered_order() -> (Harness, StartOrder) {
    let mut harness = Harness::new(&[worker(NAME, 8), worker("w2", 8)]);
    harness.submit(1, vec![step(1, 4)]);
    let order = harness.starts.remove(0);
    result(&mut harness, &order, OrderOutcome::Unanswered);
    (harness, order)
}

fn result(harness: &mut Harness, order: &StartOrder, outcome: OrderOutcome) {
    harness.input(Input::StartOrderFinished(finished(order, outcome)));
}

fn late_answer(harness: &mut Harness, order: &StartOrder, outcome: OrderOutcome) {
    harness.input(Input::StartOrderSettled(finished(order, outcome)));
}

/// Lets the worker of the order list the end of its run until it is acknowledged, for `millis` at most.
fn is_acknowledged_within(harness: &mut Harness, order: &StartOrder, millis: u64) -> bool {
    let name = order.incarnation.worker.as_str().to_owned();
    let until = harness.now + millis;
    while harness.now < until {
        let mut polls = harness.polls.iter();
        if let Some(call) = polls.find(|call| call.incarnation.worker.as_str() == name) {
            if call.acknowledged > 0 {
                return true;
            }
            harness.answer_poll(&name, &[], &[(1, order.task, order.run, RunEnd::Done)]);
        }
        harness.advance(20);
    }
    false
}

/// Guards against a run that is stopped because its answer came late, and against an end that waits for
/// an order that was answered.
#[test]
fn late_answer_keeps_the_run_and_settles_the_order() {
    let (mut harness, order) = with_an_unanswered_order();
    let repeat = harness.starts.remove(0);
    late_answer(&mut harness, &order, OrderOutcome::Accepted);
    result(&mut harness, &repeat, OrderOutcome::NotSent);
    harness.advance(REPEAT_MS);
    assert!(harness.starts.is_empty(), "the order was repeated");
    assert!(harness.stops.is_empty());
    assert!(is_acknowledged_within(&mut harness, &order, 500));
}

/// Guards against a second order that is forgotten because the first one was answered.
#[test]
fn each_unanswered_order_is_settled_by_its_own_answer() {
    let (mut harness, order) = with_an_unanswered_order();
    let repeat = harness.starts.remove(0);
    assert!(repeat.is_repeated);
    late_answer(&mut harness, &order, OrderOutcome::Accepted);
    result(&mut harness, &repeat, OrderOutcome::Unanswered);
    assert!(!is_acknowledged_within(&mut harness, &order, 1_000));
}

/// Guards against an end that is acknowledged while a repeat is under way, because the first order was
/// answered late.
#[test]
fn end_is_not_acknowledged_while_the_repeat_is_under_way() {
    let (mut harness, order) = with_an_unanswered_order();
    let repeat = harness.starts.remove(0);
    late_answer(&mut harness, &order, OrderOutcome::Accepted);
    assert!(!is_acknowledged_within(&mut harness, &order, 500));
    result(&mut harness, &repeat, OrderOutcome::Unanswered);
    assert!(!is_acknowledged_within(&mut harness, &order, 500));
}

/// Guards against a next run beside the one of a late order: only an answer that proves that nothing was
/// started ends the wait once the run was stopped.
#[parameterized(
    accepted = { OrderOutcome::Accepted, false },
    refused = { OrderOutcome::Refused(Refusal::Old), true },
    not_sent = { OrderOutcome::NotSent, true },
)]
fn next_run_waits_unless_the_late_answer_is_a_refusal(outcome: OrderOutcome, is_free: bool) {
    let (mut harness, order) = with_an_unanswered_order();
    let repeat = harness.starts.remove(0);
    result(&mut harness, &repeat, OrderOutcome::Unanswered);
    harness.answer_stops(OrderOutcome::Accepted);
    late_answer(&mut harness, &order, outcome);
    late_answer(&mut harness, &repeat, outcome);
    for _ in 0..20 {
        harness.advance(100);
        for name in [NAME, "w2"] {
            let mut polls = harness.polls.iter();
            if polls.any(|call| call.incarnation.worker.as_str() == name) {
                harness.answer_poll(name, &[], &[]);
            }
        }
    }
    let next = harness.starts.iter().filter(|start| start.run > order.run);
    assert_eq!(next.count() > 0, is_free);
    assert_eq!(order.task, task(1, 0, 0));
}
