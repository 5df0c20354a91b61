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

fn restart(harness: &mut Harness, seen_by: SeenBy) {
    if seen_by == Poll {
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
}

/// Guards against work that waits for good, and against capacity that is not known, when a later
/// incarnation answers polls but sends no heartbeat.
#[test]
fn worker_whose_next_incarnation_sends_no_heartbeat_is_removed() {
    let mut harness = Harness::new(&[worker(NAME, 8), worker("w2", 8)]);
    harness.submit(1, vec![step(1, 8)]);
    let order = harness.answer_starts(OrderOutcome::Accepted).remove(0);
    let name = order.incarnation.worker.to_string();
    for _ in 0..4 {
        while harness
            .polls
            .iter()
            .all(|poll| poll.incarnation.worker != order.incarnation.worker)
        {
            harness.advance(20);
            if harness.lost_runs() > 0 {
                return;
            }
        }
        let answer = PollAnswer {
            started_ms: Some(EPOCH_MS + 1),
            clock_ms: 0,
            running: Vec::new(),
            finished: Vec::new(),
            is_truncated: false,
        };
        harness.finish_poll(&name, PollOutcome::Answered(answer));
        harness.advance(20);
    }
    assert_eq!(harness.lost_runs(), 1);
}
