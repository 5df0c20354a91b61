//! Start orders without an answer that the next incarnation of their worker carries out as its first
//! call.

mod common;

use common::{EPOCH_MS, Harness, incarnation, step, task, worker};
use tarragon_dispatch::{FinishedOrder, Input, OrderOutcome};
use tarragon_names::Millis;
use tarragon_workflow::{
    AdviceTerms, Command, JobPhase, RunEnd, StepSpec, TaskKey, WorkerIncarnation, WorkerRecord,
};
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

/// Lets a worker without runs or ends answer its open poll, and the one that follows.
fn answer_two_polls(harness: &mut Harness, worker: &str) {
    for _ in 0..2 {
        harness.answer_poll(worker, &[], &[]);
        harness.advance(120);
    }
}

/// Guards against two runs of a task at the same time: its next run goes on while the next incarnation of
/// the worker of its first one carries out the order that had no answer. It begins once that worker
/// shows that no run has come of the order.
#[parameterized(
    failed = { Ended::Failed, step(1, 4), true },
    stopped = { Ended::Stopped, step(1, 4), true },
    not_found_by_a_new_leader = { Ended::NotInherited, step(1, 4), true },
    failed_where_copies_are_allowed = {
        Ended::Failed, StepSpec { allow_duplicates: true, ..step(1, 4) }, false
    },
    failed_task_that_lasts = {
        Ended::Failed, StepSpec { long_running: true, ..step(1, 4) }, true
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
        assert!(harness.starts.is_empty(), "{:?}", runs(&harness));
        answer_two_polls(&mut harness, NAME);
    }
    assert_eq!(runs(&harness), [2]);
}

/// Worker that is sound while the one of the first run is silent.
const OTHER: &str = "w2";

fn has_open_poll(harness: &Harness, worker: &str) -> bool {
    let mut polls = harness.polls.iter();
    polls.any(|call| call.incarnation.worker.as_str() == worker)
}

/// Lets time pass until a start order is sent, at most `millis`, while the first worker is silent and the
/// other one answers with no runs. Returns the time that has passed.
fn wait_for_start(harness: &mut Harness, millis: u64) -> u64 {
    let begun = harness.now;
    while harness.starts.is_empty() && harness.now < begun + millis {
        if has_open_poll(harness, NAME) {
            harness.time_out_poll(NAME);
        }
        if has_open_poll(harness, OTHER) {
            harness.answer_poll(OTHER, &[], &[]);
        }
        harness.advance(20);
    }
    harness.now - begun
}

/// Longest lease that an incarnation takes from a late order, on the slowest clock.
const LONGEST_LEASE_MS: u64 = 10_000 * 100 / 98;

/// Time after which a next run that waits for a silent worker has certainly begun.
const MAX_WAIT_MS: u64 = 40_000;

/// Guards against two runs of a task at the same time: a late order has started the first one on an
/// incarnation that no call reaches, and it goes on under its lease beside the next run elsewhere.
#[parameterized(
    ordinary_task = { step(1, 4) },
    task_that_lasts = { StepSpec { long_running: true, ..step(1, 4) } },
)]
fn next_run_waits_for_the_lease_of_a_late_run(spec: StepSpec) {
    let mut harness = started_after_an_unanswered_order(spec);
    harness.commit(Command::PutWorker(worker(OTHER, 8)));
    harness.answer_poll(NAME, &[], &[(1, task(1, 0, 0), 1, RunEnd::Failed)]);
    let waited = wait_for_start(&mut harness, MAX_WAIT_MS);
    assert!(
        waited >= LATEST_ORDER_MS + LONGEST_LEASE_MS,
        "the run may go on, after {waited} ms"
    );
    let starts = harness.starts.iter();
    let starts = starts.map(|s| (s.incarnation.worker.as_str(), s.run));
    assert_eq!(starts.collect::<Vec<_>>(), [(OTHER, 2)]);
}

/// Guards against the same under a leader that follows one which ended before its order had an answer, or
/// none in time: only the time of the placement tells of the order.
#[test]
fn next_run_waits_for_an_order_of_which_only_the_placement_tells() {
    let mut harness = Harness::new(&[worker(NAME, 8)]);
    harness.submit(1, vec![step(1, 4)]);
    assert_eq!(harness.starts.len(), 1);
    harness.elect_follower();
    harness.commit(Command::PutWorker(worker(OTHER, 8)));
    let waited = wait_for_start(&mut harness, MAX_WAIT_MS);
    assert!(
        waited >= LATEST_ORDER_MS + LONGEST_LEASE_MS,
        "the run may go on, after {waited} ms"
    );
    assert_eq!(harness.starts[0].run, 2);
}

/// Guards against a next run beside one that a late order has started and that its worker still lists.
#[test]
fn next_run_waits_while_a_late_run_is_listed() {
    let mut harness = started_after_an_unanswered_order(step(1, 4));
    let of_task = task(1, 0, 0);
    harness.answer_poll(NAME, &[], &[(1, of_task, 1, RunEnd::Failed)]);
    let restarted = WorkerRecord {
        incarnation: WorkerIncarnation {
            started_ms: EPOCH_MS + harness.now,
            ..incarnation(NAME)
        },
        ..worker(NAME, 8)
    };
    harness.commit(Command::PutWorker(restarted));
    let until = harness.now + LATEST_ORDER_MS + 5_000;
    while harness.now < until {
        if has_open_poll(&harness, NAME) {
            harness.answer_poll(NAME, &[(of_task, 1)], &[]);
        }
        harness.advance(100);
        assert!(harness.starts.is_empty(), "{:?}", harness.starts);
    }
    let until = harness.now + 1_000;
    while harness.starts.is_empty() && harness.now < until {
        if has_open_poll(&harness, NAME) {
            harness.answer_poll(NAME, &[], &[]);
        }
        harness.advance(20);
    }
    assert_eq!(harness.starts.len(), 1);
}

/// Guards against a wait for a lease although another worker answers at the address of the order, where
/// nothing of the first one can go on.
#[test]
fn worker_that_takes_the_address_ends_the_wait() {
    let mut harness = started_after_an_unanswered_order(step(1, 4));
    harness.answer_poll(NAME, &[], &[(1, task(1, 0, 0), 1, RunEnd::Failed)]);
    harness.commit(Command::RemoveWorker(incarnation(NAME)));
    let successor = WorkerRecord {
        address: worker(NAME, 8).address,
        ..worker(OTHER, 8)
    };
    harness.commit(Command::PutWorker(successor));
    let waited = wait_for_start(&mut harness, MAX_WAIT_MS);
    assert!(waited >= LATEST_ORDER_MS, "too early, after {waited} ms");
    assert!(waited < LATEST_ORDER_MS + 2_000, "late, after {waited} ms");
}

/// Guards against a task that lasts and has no run for seconds, because two start orders in a row had no
/// answer: the same run is ordered again.
#[test]
fn task_that_lasts_is_ordered_to_its_worker_again() {
    let lasting = StepSpec {
        long_running: true,
        ..step(1, 4)
    };
    let mut harness = Harness::new(&[worker(NAME, 8), worker(OTHER, 8)]);
    harness.submit(1, vec![lasting]);
    let first = harness.answer_starts(OrderOutcome::Unanswered);
    harness.answer_starts(OrderOutcome::Unanswered);
    harness.advance(40);
    let third = harness.answer_starts(OrderOutcome::Accepted);
    assert_eq!(third.len(), 1);
    assert_eq!(third[0].run, 1);
    assert_eq!(third[0].incarnation, first[0].incarnation);
    assert!(harness.stops.is_empty(), "{:?}", harness.stops);
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
