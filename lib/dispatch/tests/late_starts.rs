//! Start orders without an answer that the next incarnation of their worker carries out as its first
//! call.

mod common;

use common::{Harness, step, task, worker};
use tarragon_dispatch::{FinishedOrder, Input, OrderOutcome};
use tarragon_names::Millis;
use tarragon_workflow::{AdviceTerms, JobPhase, RunEnd, StepSpec, TaskKey};
use yare::parameterized;

const NAME: &str = "w1";

/// Time after its timeout within which the platform carries out an order at the latest.
const LATEST_ORDER_MS: u64 = 12_000;

fn gang(count: u32) -> StepSpec {
    StepSpec {
        gang: true,
        ..step(count, 2)
    }
}

/// A leader of one worker with a job of one step, whose first order got no answer and whose second ones
/// were accepted.
fn started_after_an_unanswered_order(spec: StepSpec) -> Harness {
    let mut harness = Harness::new(&[worker(NAME, 8)]);
    harness.submit(1, vec![spec]);
    answer_first_start(&mut harness, OrderOutcome::Unanswered);
    harness.answer_starts(OrderOutcome::Accepted);
    harness.advance(40);
    harness.answer_starts(OrderOutcome::Accepted);
    harness
}

fn answer_first_start(harness: &mut Harness, outcome: OrderOutcome) {
    let order = harness.starts.remove(0);
    harness.input(Input::StartOrderFinished(FinishedOrder {
        fence: order.fence,
        incarnation: order.incarnation,
        task: order.task,
        run: order.run,
        outcome,
    }));
}

/// Lets the worker list these ends in each poll for a time, and returns the highest number that a poll
/// has acknowledged.
fn acknowledged_within(
    harness: &mut Harness,
    millis: u64,
    ends: &[(u64, TaskKey, u32, RunEnd)],
) -> u64 {
    let until = harness.now + millis;
    let mut highest = 0;
    while harness.now < until {
        if let Some(call) = harness.polls.first() {
            highest = call.acknowledged.max(highest);
            let listed = ends.iter().filter(|(number, ..)| *number > highest);
            let listed = listed.copied().collect::<Vec<_>>();
            harness.answer_poll(NAME, &[], &listed);
        }
        harness.advance(20);
    }
    highest
}

/// Guards against a task that runs again after its end was acknowledged: the worker restarts, and its
/// next incarnation gets the order that had no answer before any call of the leader.
#[parameterized(
    done = { step(1, 4), RunEnd::Done },
    failed = { step(1, 4), RunEnd::Failed },
    done_by_another_member_of_the_gang = { gang(2), RunEnd::Done },
)]
fn end_is_not_acknowledged_while_an_order_may_arrive(spec: StepSpec, end: RunEnd) {
    let last = spec.count - 1;
    let mut harness = started_after_an_unanswered_order(spec);
    let ends = [(1, task(1, 0, last), 1, end)];
    assert_eq!(
        acknowledged_within(&mut harness, LATEST_ORDER_MS, &ends),
        0,
        "the order may still arrive"
    );
    let is_completed = harness.phase(1) == Some(JobPhase::Completed);
    assert_eq!(is_completed, end == RunEnd::Done);
    assert_eq!(acknowledged_within(&mut harness, 1_000, &ends), 1);
}

/// Guards against ends that are not acknowledged although no order can start their tasks again.
#[parameterized(
    copies_are_allowed = { StepSpec { allow_duplicates: true, ..step(1, 4) }, RunEnd::Done },
    stopped = { step(1, 4), RunEnd::Stopped },
)]
fn end_is_acknowledged_at_once(spec: StepSpec, end: RunEnd) {
    let mut harness = started_after_an_unanswered_order(spec);
    let ends = [(1, task(1, 0, 0), 1, end)];
    assert_eq!(acknowledged_within(&mut harness, 500, &ends), 1);
}

/// Guards against the same for an order with a ticket, which no later incarnation accepts.
#[test]
fn end_of_a_run_with_a_ticket_is_acknowledged_at_once() {
    let terms = AdviceTerms {
        decide_us: 10_000,
        per_worker_us: 100,
        valid: Millis(1_500),
    };
    let mut harness = Harness::with_advice(&[worker(NAME, 8)], Some(terms));
    harness.submit(1, vec![step(1, 4)]);
    harness.answer_advice_requests(&[NAME]);
    harness.advance(20);
    answer_first_start(&mut harness, OrderOutcome::Unanswered);
    harness.advance(40);
    harness.answer_starts(OrderOutcome::Accepted);
    let ends = [(1, task(1, 0, 0), 1, RunEnd::Done)];
    assert_eq!(acknowledged_within(&mut harness, 500, &ends), 1);
}

/// Guards against ends behind a held one that are lost, counted twice or acknowledged too early.
#[test]
fn ends_behind_a_held_one_are_recorded_once() {
    let mut harness = started_after_an_unanswered_order(step(1, 4));
    harness.submit(2, vec![step(1, 4)]);
    harness.answer_starts(OrderOutcome::Accepted);
    let ends = [
        (1, task(1, 0, 0), 1, RunEnd::Done),
        (2, task(2, 0, 0), 1, RunEnd::Done),
    ];
    assert_eq!(acknowledged_within(&mut harness, 2_000, &ends), 0);
    assert_eq!(harness.phase(2), Some(JobPhase::Completed));
    assert_eq!(harness.event_count("run_ended"), 2);
    assert_eq!(harness.event_count("unexpected_end"), 0);
    assert_eq!(acknowledged_within(&mut harness, LATEST_ORDER_MS, &ends), 2);
}

/// Guards against a leader that acknowledges what the one before has held back for an order of which
/// only that one knows.
#[test]
fn new_leader_holds_the_ends_that_it_finds_unacknowledged() {
    let mut harness = started_after_an_unanswered_order(step(1, 4));
    let ends = [(1, task(1, 0, 0), 1, RunEnd::Done)];
    acknowledged_within(&mut harness, 1_000, &ends);
    harness.elect_new_leader();
    assert_eq!(acknowledged_within(&mut harness, LATEST_ORDER_MS, &ends), 0);
    assert_eq!(acknowledged_within(&mut harness, 1_000, &ends), 1);
}

/// How the run ends whose first start order got no answer.
#[derive(Clone, Copy)]
enum Ended {
    Failed,
    /// The worker refuses it, and is told to refuse later orders.
    Stopped,
    /// A new leader does not find it on the worker.
    NotInherited,
}

/// Guards against two runs of a task at the same time: its next run goes on while the next incarnation of
/// the worker of its first one carries out the order that had no answer.
#[parameterized(
    failed = { Ended::Failed, step(1, 4), true },
    stopped = { Ended::Stopped, step(1, 4), true },
    not_found_by_a_new_leader = { Ended::NotInherited, step(1, 4), true },
    failed_where_copies_are_allowed = {
        Ended::Failed, StepSpec { allow_duplicates: true, ..step(1, 4) }, false
    },
    failed_task_that_lasts = {
        Ended::Failed, StepSpec { long_running: true, ..step(1, 4) }, false
    },
)]
fn next_run_waits_until_no_order_may_arrive(ended: Ended, spec: StepSpec, waits: bool) {
    let mut harness = started_after_an_unanswered_order(spec);
    let of_task = task(1, 0, 0);
    match ended {
        Ended::Failed => harness.answer_poll(NAME, &[], &[(1, of_task, 1, RunEnd::Failed)]),
        Ended::Stopped => harness.answer_poll(NAME, &[], &[(1, of_task, 1, RunEnd::Stopped)]),
        Ended::NotInherited => {
            harness.elect_new_leader();
            harness.answer_poll(NAME, &[], &[]);
            harness.advance(20);
            harness.answer_stops(OrderOutcome::Accepted);
            harness.advance(1_300);
            // The first of these polls was sent before the stop was accepted.
            harness.answer_poll(NAME, &[], &[]);
            harness.answer_poll(NAME, &[], &[]);
            assert_eq!(harness.lost_runs(), 1);
        }
    }
    harness.advance(5_000);
    let runs = |harness: &Harness| harness.starts.iter().map(|s| s.run).collect::<Vec<_>>();
    if waits {
        assert!(harness.starts.is_empty(), "{:?}", runs(&harness));
        harness.advance(LATEST_ORDER_MS - 5_000 + 1_000);
    }
    assert_eq!(runs(&harness), [2]);
}

/// Guards against the same under a leader that follows the one whose order had no answer: the run is found
/// on its worker and ends under the new leader.
#[parameterized(
    done = { RunEnd::Done },
    failed = { RunEnd::Failed },
)]
fn order_of_an_earlier_leader_may_still_arrive(end: RunEnd) {
    let mut harness = started_after_an_unanswered_order(step(1, 4));
    let of_task = task(1, 0, 0);
    harness.elect_new_leader();
    harness.answer_poll(NAME, &[(of_task, 1)], &[]);
    let ends = [(1, of_task, 1, end)];
    assert_eq!(
        acknowledged_within(&mut harness, LATEST_ORDER_MS, &ends),
        0,
        "the order may still arrive"
    );
    assert!(harness.starts.is_empty(), "the next run waits");
    assert_eq!(acknowledged_within(&mut harness, 1_000, &ends), 1);
}
