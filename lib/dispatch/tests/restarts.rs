//! Workers that restart under their names while start orders may still arrive.

mod common;

use common::{EPOCH_MS, Harness, step, task, worker};
use tarragon_dispatch::{OrderOutcome, PollAnswer, PollOutcome};
use tarragon_names::Millis;
use tarragon_workflow::{Command, RunEnd, StepSpec, WorkerRecord};
use yare::parameterized;

const NAME: &str = "w1";

/// How the leader learns of the restart first.
#[derive(Clone, Copy, Eq, PartialEq)]
enum SeenBy {
    Heartbeat,
    Poll,
}

use SeenBy::{Heartbeat, Poll};

/// What the leader knows of the run when its worker restarts. One start order for it has no answer.
#[derive(Clone, Copy, Eq, PartialEq)]
enum Known {
    /// Nothing but the order.
    Unanswered,
    /// A poll has listed the run.
    Listed,
    /// The run was listed as done, which is committed.
    Done,
    /// An earlier leader placed the run.
    Inherited,
}

use Known::{Done, Inherited, Listed, Unanswered};

fn next_incarnation() -> WorkerRecord {
    let mut record = worker(NAME, 8);
    record.incarnation.started_ms += 1;
    record
}

/// Lets the next incarnation answer the open poll of the previous one.
fn answer_as_next_incarnation(harness: &mut Harness) {
    while harness.polls.is_empty() {
        harness.advance(20);
    }
    let answer = PollAnswer {
        started_ms: Some(EPOCH_MS + 1),
        clock_ms: 0,
        running: Vec::new(),
        finished: Vec::new(),
        is_truncated: false,
    };
    harness.finish_poll(NAME, PollOutcome::Answered(answer));
}

fn restart(harness: &mut Harness, seen_by: SeenBy) {
    if seen_by == Poll {
        answer_as_next_incarnation(harness);
        harness.advance(500);
    }
    harness.commit(Command::PutWorker(next_incarnation()));
    harness.advance(20);
}

/// Guards against a second run of a task when a start order for the previous incarnation of its worker
/// arrives at the next one, which remembers nothing.
#[parameterized(
    unanswered_start_then_heartbeat = { Unanswered, Heartbeat },
    unanswered_start_then_poll = { Unanswered, Poll },
    listed_run_then_heartbeat = { Listed, Heartbeat },
    listed_run_then_poll = { Listed, Poll },
    done_run_then_heartbeat = { Done, Heartbeat },
    done_run_then_poll = { Done, Poll },
    inherited_run_then_heartbeat = { Inherited, Heartbeat },
    inherited_run_then_poll = { Inherited, Poll },
)]
fn next_incarnation_refuses_the_orders_that_may_still_arrive(known: Known, seen_by: SeenBy) {
    let mut harness = Harness::new(&[worker(NAME, 8)]);
    let long = StepSpec {
        estimate: Millis(60_000),
        ..step(1, 4)
    };
    harness.submit(1, vec![long]);
    let of_task = task(1, 0, 0);
    harness.answer_starts(OrderOutcome::Unanswered);
    harness.advance(20);
    if known != Unanswered {
        harness.answer_starts(OrderOutcome::Accepted);
        harness.answer_poll(NAME, &[(of_task, 1)], &[]);
    }
    match known {
        Unanswered | Listed => {}
        Done => harness.answer_poll(NAME, &[], &[(1, of_task, 1, RunEnd::Done)]),
        Inherited => harness.elect_new_leader(),
    }
    harness.starts.clear();
    restart(&mut harness, seen_by);
    let refused = |harness: &mut Harness, outcome| {
        let stops = harness.answer_stops(outcome).into_iter();
        let stops = stops.filter(|stop| stop.incarnation == next_incarnation().incarnation);
        stops.map(|stop| (stop.task, stop.run)).collect::<Vec<_>>()
    };
    assert_eq!(
        refused(&mut harness, OrderOutcome::Unanswered),
        [(of_task, 1)]
    );
    harness.advance(2_000);
    assert_eq!(
        refused(&mut harness, OrderOutcome::Accepted),
        [(of_task, 1)]
    );
    assert_eq!(harness.lost_runs(), 0, "the task waits for the answer");
    assert!(harness.starts.is_empty());
    harness.advance(2_000);
    assert!(harness.stops.is_empty(), "the incarnation refuses the run");
    assert_eq!(harness.event_count("run_refused_after_restart"), 1);
}

/// Guards against work that waits for good after a poll met a later incarnation of which nothing more is
/// heard.
#[parameterized(
    it_answers_polls = { true },
    it_is_silent = { false },
)]
fn run_is_lost_when_the_next_incarnation_sends_no_heartbeat(answers_polls: bool) {
    let mut harness = Harness::new(&[worker(NAME, 8)]);
    harness.submit(1, vec![step(1, 8)]);
    harness.answer_starts(OrderOutcome::Accepted);
    answer_as_next_incarnation(&mut harness);
    let restarted_at = harness.now;
    while harness.lost_runs() == 0 {
        harness.advance(20);
        assert!(harness.now < restarted_at + 20_000);
        if !harness.polls.is_empty() {
            if answers_polls {
                answer_as_next_incarnation(&mut harness);
            } else {
                harness.time_out_poll(NAME);
            }
        }
    }
    assert!(
        harness.starts.is_empty(),
        "no order is sent to the incarnation that ended"
    );
}

/// Guards against a second run of a task whose start order the next incarnation has accepted: the answer
/// does not tell which incarnation gave it.
#[parameterized(
    it_runs_there = { true },
    it_was_gone_before = { false },
)]
fn accepted_run_waits_for_the_first_poll_of_the_next_incarnation(runs_there: bool) {
    let mut harness = Harness::new(&[worker(NAME, 8), worker("w2", 8)]);
    harness.submit(1, vec![step(1, 4)]);
    let order = harness.answer_starts(OrderOutcome::Accepted).remove(0);
    let (name, of_task) = (order.incarnation.worker.clone(), order.task);
    harness.time_out_poll(&name);
    let mut record = worker(&name, 8);
    record.incarnation.started_ms += 1;
    harness.commit(Command::PutWorker(record));
    harness.advance(20);
    assert_eq!(harness.lost_runs(), 0, "the next incarnation may run it");

    let running = [(of_task, 1)];
    let running = if runs_there { &running[..] } else { &[] };
    harness.answer_poll(&name, running, &[]);
    harness.advance(40);
    if runs_there {
        let stopped = harness.answer_stops(OrderOutcome::Accepted).remove(0);
        assert_eq!((stopped.task, stopped.run), (of_task, 1));
        assert!(harness.starts.is_empty(), "the run has not ended");
        harness.answer_poll(&name, &[], &[(1, of_task, 1, RunEnd::Stopped)]);
        harness.advance(40);
    } else {
        assert_eq!(harness.lost_runs(), 1, "no order can start it any more");
    }
    assert_eq!(harness.starts[0].run, 2);
}

/// Guards against a restarted worker that forgets an end which no leader has seen: an acknowledgement for
/// the incarnation before counts for the ends of the next one as well.
#[parameterized(
    after_a_failed_poll = { false },
    of_a_new_leader = { true },
)]
fn poll_that_may_reach_the_next_incarnation_acknowledges_nothing(is_new_leader: bool) {
    let mut harness = Harness::new(&[worker(NAME, 8)]);
    harness.submit(1, vec![step(1, 4)]);
    harness.answer_starts(OrderOutcome::Accepted);
    harness.answer_poll(NAME, &[], &[(7, task(1, 0, 0), 1, RunEnd::Done)]);
    harness.advance(20);
    assert_eq!(harness.polls[0].acknowledged, 7);
    if is_new_leader {
        harness.elect_new_leader();
    } else {
        harness.time_out_poll(NAME);
        harness.advance(500);
    }
    assert_eq!(harness.polls[0].acknowledged, 0);
    harness.answer_poll(NAME, &[], &[(7, task(1, 0, 0), 1, RunEnd::Done)]);
    if is_new_leader {
        // The leader before may have known of a start order that can still be carried out.
        harness.advance(200);
        assert_eq!(harness.polls[0].acknowledged, 6);
        harness.answer_poll(NAME, &[], &[(7, task(1, 0, 0), 1, RunEnd::Done)]);
        harness.advance(13_000);
        harness.answer_poll(NAME, &[], &[(7, task(1, 0, 0), 1, RunEnd::Done)]);
    }
    harness.advance(20);
    assert_eq!(harness.polls[0].acknowledged, 7);
    assert_eq!(harness.proposed.len(), 2, "placed and ended once");
}
