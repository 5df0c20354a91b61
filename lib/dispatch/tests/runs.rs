//! Runs from the placement in the log, through orders and polls, to the acknowledged end.

mod common;

use common::{Harness, incarnation, step, task, worker};
use tarragon_dispatch::{FencingToken, FinishedOrder, Input, OrderOutcome, PollOutcome, Refusal};
use tarragon_names::Millis;
use tarragon_workflow::{Command, JobKey, JobPhase, RunEnd, RunEvent, StepSpec};
use yare::parameterized;

/// Lease that a leader grants, in milliseconds.
const LEASE_MS: u64 = 8_000;

/// Time for which such a lease lasts on a clock that is 2% slow, in milliseconds.
const SLOWEST_LEASE_MS: u64 = LEASE_MS * 100 / 98;

fn gang(count: u32, cores: u64) -> StepSpec {
    StepSpec {
        gang: true,
        ..step(count, cores)
    }
}

/// Guards against work that never starts, or that is never reported as done.
#[test]
fn job_runs_to_its_end() {
    let mut harness = Harness::new(&[worker("w1", 8)]);
    harness.submit(
        1,
        vec![
            step(2, 4),
            StepSpec {
                depends_on: vec![0],
                ..step(1, 8)
            },
        ],
    );
    assert_eq!(harness.answer_starts(OrderOutcome::Accepted).len(), 2);
    let (a, b, c) = (task(1, 0, 0), task(1, 0, 1), task(1, 1, 0));
    harness.answer_poll("w1", &[(b, 1)], &[(1, a, 1, RunEnd::Done)]);
    assert!(
        harness.starts.is_empty(),
        "the second step waits for both tasks of the first"
    );
    harness.answer_poll("w1", &[], &[(2, b, 1, RunEnd::Done)]);
    harness.advance(20);
    assert_eq!(harness.answer_starts(OrderOutcome::Accepted)[0].task, c);
    assert_eq!(harness.phase(1), Some(JobPhase::Running));
    harness.answer_poll("w1", &[], &[(3, c, 1, RunEnd::Done)]);
    assert_eq!(harness.phase(1), Some(JobPhase::Completed));
}

/// Guards against an order that a new leader would not know of.
#[test]
fn start_waits_for_the_commit_of_its_decision() {
    let mut harness = Harness::new(&[worker("w1", 8)]);
    harness.is_log_paused = true;
    harness.submit(1, vec![step(1, 4)]);
    assert!(harness.starts.is_empty());
    harness.resume_log();
    assert_eq!(harness.starts.len(), 1);
}

/// Guards against the acknowledgement of an end that a new leader would not know of.
#[test]
fn end_is_acknowledged_after_its_commit() {
    let mut harness = Harness::new(&[worker("w1", 8)]);
    harness.submit(1, vec![step(1, 4)]);
    harness.answer_starts(OrderOutcome::Accepted);
    harness.is_log_paused = true;
    harness.answer_poll("w1", &[], &[(1, task(1, 0, 0), 1, RunEnd::Done)]);
    harness.advance(100);
    assert!(
        harness.polls.is_empty(),
        "a poll before the commit would acknowledge the end or list it again"
    );
    harness.resume_log();
    assert_eq!(harness.polls[0].acknowledged, 1);
}

/// Guards against more work on a worker than its capacity allows.
#[test]
fn worker_is_not_filled_beyond_its_capacity() {
    let mut harness = Harness::new(&[worker("w1", 8)]);
    harness.submit(1, vec![step(5, 3)]);
    assert_eq!(harness.answer_starts(OrderOutcome::Accepted).len(), 2);
    let (a, b) = (task(1, 0, 0), task(1, 0, 1));
    harness.answer_poll("w1", &[(b, 1)], &[(1, a, 1, RunEnd::Done)]);
    harness.advance(20);
    assert_eq!(harness.starts.len(), 1);
}

/// Guards against a new leader that treats an inherited run as never sent, and gives its capacity
/// away while it still runs.
#[parameterized(
    cancelled = { false },
    other_member_lost = { true },
)]
fn inherited_run_is_stopped_before_its_capacity_is_freed(is_other_member_lost: bool) {
    let mut harness = Harness::new(&[worker("w1", 8), worker("w2", 8)]);
    harness.submit(1, vec![gang(2, 8)]);
    harness.answer_starts(OrderOutcome::Accepted);
    harness.elect_new_leader();
    let (a, b) = (task(1, 0, 0), task(1, 0, 1));
    harness.answer_poll("w1", &[(a, 1)], &[]);
    harness.answer_poll("w2", &[(b, 1)], &[]);
    if is_other_member_lost {
        harness.commit(Command::RemoveWorker(incarnation("w1")));
    } else {
        harness.commit(Command::Cancel { job: JobKey(1) });
    }
    let of_inherited =
        |record: &&RunEvent| matches!(record, RunEvent::Lost { task, .. } if *task == b);
    assert_eq!(harness.proposed.iter().filter(of_inherited).count(), 0);
    assert!(harness.stops.iter().any(|order| order.task == b));
}

/// Guards against a run of a job that has ended, whose lease is renewed for good: the stop order of
/// an earlier leader did not reach the worker, and the new leader looked only at open jobs.
#[parameterized(
    cancelled = { true },
    failed = { false },
)]
fn new_leader_stops_the_runs_of_an_ended_job(is_cancelled: bool) {
    let mut harness = Harness::new(&[worker("w1", 8), worker("w2", 8)]);
    let long = StepSpec {
        estimate: Millis(60_000),
        ..step(2, 8)
    };
    harness.submit(1, vec![long]);
    harness.answer_starts(OrderOutcome::Accepted);
    let (a, b) = (task(1, 0, 0), task(1, 0, 1));
    if is_cancelled {
        harness.commit(Command::Cancel { job: JobKey(1) });
    } else {
        let mut attempt = 1;
        while harness.phase(1) != Some(JobPhase::Failed) {
            harness.answer_poll("w1", &[], &[(attempt, a, attempt as u32, RunEnd::Failed)]);
            harness.advance(5_000);
            harness.answer_starts(OrderOutcome::Accepted);
            attempt += 1;
        }
    }
    assert_eq!(harness.answer_stops(OrderOutcome::Unanswered)[0].run, 1);
    harness.elect_new_leader();
    harness.answer_poll("w2", &[(b, 1)], &[]);
    harness.advance(20);
    let stops = harness.stops.iter();
    let mut stopped = stops.map(|order| (order.task, order.fence.term()));
    assert!(stopped.any(|stop| stop == (b, 2)));
}

/// Guards against two runs of a task when a start order is carried out late.
#[test]
fn unanswered_start_is_stopped_before_the_task_runs_elsewhere() {
    let mut harness = Harness::new(&[worker("w1", 8), worker("w2", 8)]);
    harness.submit(1, vec![step(1, 4)]);
    let first = harness.answer_starts(OrderOutcome::Unanswered);
    harness.advance(100);
    let second = harness.answer_starts(OrderOutcome::Unanswered);
    assert_eq!(first[0].run, second[0].run, "the same run is sent again");
    harness.advance(500);
    assert!(harness.starts.is_empty());
    assert_eq!(harness.answer_stops(OrderOutcome::Accepted).len(), 1);
    assert_eq!(
        harness.lost_runs(),
        0,
        "the run may have started just before the stop"
    );
    harness.advance(1_300);
    let of = first[0].incarnation.worker.to_string();
    harness.answer_poll(&of, &[], &[]);
    harness.answer_poll(&of, &[], &[]);
    assert_eq!(harness.lost_runs(), 1);
    harness.advance(10_000);
    assert!(
        harness.starts.is_empty(),
        "the next incarnation of the worker may carry out an order"
    );
    harness.advance(1_000);
    assert!(harness.starts.is_empty(), "a run may have come of an order");
    for _ in 0..2 {
        harness.answer_poll(&of, &[], &[]);
        harness.advance(120);
    }
    assert_eq!(harness.starts[0].run, 2);
}

/// Guards against a task that never runs again after a refusal, and against a second run while an
/// earlier order may still arrive.
#[parameterized(
    no_capacity = { Refusal::Capacity, 1, 0 },
    lease_expired = { Refusal::Late, 1, 0 },
    other_incarnation = { Refusal::OtherIncarnation, 1, 0 },
)]
fn refused_start_is_lost_at_once(refusal: Refusal, lost: usize, stops: usize) {
    let mut harness = Harness::new(&[worker("w1", 8)]);
    harness.submit(1, vec![step(1, 4)]);
    harness.answer_starts(OrderOutcome::Refused(refusal));
    assert_eq!(harness.lost_runs(), lost);
    assert_eq!(harness.stops.len(), stops);
}

/// Guards against members of a gang that wait for ever for a member that does not start.
#[test]
fn gang_is_stopped_when_a_member_does_not_start() {
    let mut harness = Harness::new(&[worker("w1", 8), worker("w2", 8)]);
    harness.submit(1, vec![gang(2, 8)]);
    let starts = std::mem::take(&mut harness.starts);
    assert_eq!(starts.len(), 2);
    for (order, outcome) in starts.iter().zip([
        OrderOutcome::Accepted,
        OrderOutcome::Refused(Refusal::Capacity),
    ]) {
        harness.input(Input::StartOrderFinished(FinishedOrder {
            fence: order.fence,
            incarnation: order.incarnation.clone(),
            task: order.task,
            run: order.run,
            outcome,
        }));
    }
    assert_eq!(harness.stops.len(), 1);
    assert_eq!(harness.stops[0].task, starts[0].task);
}

/// Guards against a second run while the worker of the first may still run it.
#[test]
fn run_on_a_silent_worker_is_lost_only_after_its_lease_expires() {
    let mut harness = Harness::new(&[worker("w1", 8), worker("w2", 8)]);
    harness.submit(1, vec![step(1, 4)]);
    let started = harness.answer_starts(OrderOutcome::Accepted);
    let of = started[0].incarnation.worker.to_string();
    let mut waited = 0;
    while harness.lost_runs() == 0 {
        if harness
            .polls
            .iter()
            .any(|call| call.incarnation.worker.as_str() == of)
        {
            harness.time_out_poll(&of);
        }
        harness.advance(100);
        waited += 100;
        assert!(
            waited < 20_000,
            "the run should be declared lost within 20 s"
        );
    }
    assert!(
        waited >= SLOWEST_LEASE_MS,
        "the run was declared lost too early, after {waited} ms"
    );
}

/// Guards against a task that lasts and has nothing running for long after its worker and the leader
/// were lost together, and against a second run while the lease of an earlier leader may hold.
#[test]
fn run_on_a_worker_that_never_answers_a_new_leader_is_lost_after_the_longest_lease() {
    let mut harness = Harness::new(&[worker("w1", 8)]);
    harness.submit(1, vec![step(1, 4)]);
    harness.answer_starts(OrderOutcome::Accepted);
    harness.elect_new_leader();
    let elected_at = harness.now;
    while harness.lost_runs() == 0 {
        if !harness.polls.is_empty() {
            harness.time_out_poll("w1");
        }
        harness.advance(50);
        assert!(harness.now < elected_at + 20_000);
    }
    let waited = harness.now - elected_at;
    assert!(waited >= SLOWEST_LEASE_MS, "too early, after {waited} ms");
    assert!(
        waited < SLOWEST_LEASE_MS + 500,
        "too late, after {waited} ms"
    );
}

/// Guards against a lease of an earlier leader that lasts longer than its successor waits: the clock
/// of the worker may be slow, so the lease is counted from its earliest possible reading.
#[test]
fn no_lease_exceeds_the_longest_one_on_a_slow_clock() {
    let mut harness = Harness::new(&[worker("w1", 8)]);
    let read_at = harness.now;
    harness.advance(900);
    harness.submit(1, vec![step(1, 4)]);
    let elapsed_on_slow_clock = (harness.now - read_at) * 98 / 100;
    let slow_clock = read_at + elapsed_on_slow_clock;
    assert!(harness.starts[0].lease_until_ms <= slow_clock + LEASE_MS);
}

/// Guards against a result of an earlier term of the same host that is counted as the result of a
/// call of the current term.
#[test]
fn answer_to_a_poll_of_an_earlier_term_is_ignored() {
    let mut harness = Harness::new(&[worker("w1", 8)]);
    harness.submit(1, vec![step(1, 4)]);
    harness.answer_starts(OrderOutcome::Accepted);
    harness.input(Input::LostLeadership);
    harness.term += 1;
    let term = harness.term;
    harness.input(Input::BecameLeader { term });
    harness.input(Input::PollFinished {
        fence: FencingToken::new(term - 1, 1),
        incarnation: incarnation("w1"),
        outcome: tarragon_dispatch::PollOutcome::Unanswered,
    });
    harness.advance(20);
    let polls = harness.polls.iter();
    let open = polls.filter(|call| call.fence.term() == term);
    assert_eq!(
        open.count(),
        1,
        "the poll of the current term should still be open"
    );
}

/// Guards against a deposed leader that, for example after a pause, renews a lease that its
/// successor counts as expired, or sends orders.
#[test]
fn leader_that_may_be_deposed_sends_no_lease_and_no_order() {
    let mut harness = Harness::new(&[worker("w1", 8)]);
    harness.answer_poll("w1", &[], &[]);
    harness.polls.clear();
    harness.is_sole_leader = false;
    let waiting = harness.uncommitted.len();
    harness.submit(1, vec![step(1, 4)]);
    harness.advance(2_000);
    assert!(harness.starts.is_empty() && harness.polls.is_empty());
    assert_eq!(harness.uncommitted.len(), waiting);
    harness.is_sole_leader = true;
    harness.advance(20);
    assert_eq!(
        harness.starts.len(),
        1,
        "the order is sent once no other host can lead"
    );
}

/// Guards against two runs of a task when a worker restarts under its name and then receives an
/// order meant for its previous incarnation.
#[test]
fn next_incarnation_of_a_worker_refuses_orders_for_the_previous_one() {
    let mut harness = Harness::new(&[worker("w1", 8), worker("w2", 8)]);
    harness.submit(1, vec![step(1, 4)]);
    let order = std::mem::take(&mut harness.starts).remove(0);
    let name = order.incarnation.worker.to_string();
    let mut restarted = worker(&name, 8);
    restarted.incarnation.started_ms += 1;
    harness.commit(Command::PutWorker(restarted));
    harness.advance(100);
    assert!(
        harness.starts.is_empty(),
        "the task must wait while the first order may still arrive"
    );
    let stops = harness.answer_stops(OrderOutcome::Accepted);
    assert_eq!(stops[0].task, order.task);
    assert_ne!(stops[0].incarnation, order.incarnation);
    assert_eq!(harness.lost_runs(), 0);
}

/// Guards against a local failure that counts as an unanswered order: an order that did not leave its
/// host has certainly not run, so the run is neither stopped nor lost, and the order is sent again
/// with a growing delay.
#[test]
fn start_that_was_not_sent_is_sent_again() {
    let mut harness = Harness::new(&[worker("w1", 8)]);
    harness.submit(1, vec![step(1, 4)]);
    let mut sent_at = Vec::new();
    for _ in 0..5 {
        sent_at.push(harness.now);
        assert_eq!(harness.answer_starts(OrderOutcome::NotSent).len(), 1);
        while harness.starts.is_empty() {
            harness.advance(10);
        }
    }
    let delays = sent_at.windows(2).map(|pair| pair[1] - pair[0]);
    let delays = delays.collect::<Vec<_>>();
    assert!(delays[0] >= 50 && delays[3] >= 400, "{delays:?}");
    assert!(harness.stops.is_empty());
    assert_eq!(harness.lost_runs(), 0);
    assert_eq!(harness.answer_starts(OrderOutcome::Accepted)[0].run, 1);
}

/// Guards against work that waits for the lease of a worker that cannot be reached: no order was sent
/// to it, so the task runs elsewhere at once.
#[test]
fn task_of_an_unreachable_worker_starts_elsewhere_at_once() {
    let mut harness = Harness::new(&[worker("w1", 8), worker("w2", 8)]);
    harness.submit(1, vec![step(1, 8)]);
    let refused = OrderOutcome::Refused(Refusal::Unreachable);
    let first = harness.answer_starts(refused)[0].incarnation.clone();
    harness.advance(200);
    assert_eq!(harness.starts.len(), 1);
    assert_ne!(harness.starts[0].incarnation, first);
    assert_eq!(harness.starts[0].run, 2);
    assert!(harness.stops.is_empty());
}

/// Guards against workers that count as silent because this host, or the one that delivers, cannot
/// send polls. After several failures in a row nothing is placed on the worker any more.
#[test]
fn poll_that_was_not_sent_is_no_silence_of_the_worker() {
    let mut harness = Harness::new(&[worker("w1", 8)]);
    harness.submit(1, vec![step(1, 4)]);
    harness.answer_starts(OrderOutcome::Accepted);
    for is_usable in [true, true, false] {
        harness.finish_poll("w1", PollOutcome::NotSent);
        harness.submit(10 + harness.now, vec![step(1, 1)]);
        assert_eq!(!harness.starts.is_empty(), is_usable);
        harness.answer_starts(OrderOutcome::Accepted);
        harness.advance(300);
    }
    assert_eq!(harness.lost_runs(), 0);
}

/// Guards against stop orders that are repeated at a fixed rate while the worker does not accept
/// them.
#[test]
fn unanswered_stop_is_repeated_less_and_less_often() {
    let mut harness = Harness::new(&[worker("w1", 8)]);
    harness.submit(1, vec![step(1, 4)]);
    harness.answer_starts(OrderOutcome::Accepted);
    harness.answer_poll("w1", &[(task(1, 0, 0), 1)], &[]);
    harness.commit(Command::Cancel { job: JobKey(1) });
    let mut sent_at = Vec::new();
    for _ in 0..5 {
        while harness.stops.is_empty() {
            harness.advance(10);
        }
        sent_at.push(harness.now);
        harness.answer_stops(OrderOutcome::Unanswered);
    }
    let delays = sent_at.windows(2).map(|pair| pair[1] - pair[0]);
    let delays = delays.collect::<Vec<_>>();
    assert!(delays[0] >= 400 && delays[3] >= 2 * delays[0], "{delays:?}");
}

/// Replays a worker that fails everything beside gangs that span many workers. Guards against gangs
/// that end on the same worker again and again before enough different jobs have failed there: after
/// one failed run it gets no work for a while, and for longer after each further one.
#[test]
fn worker_gets_no_work_for_a_while_after_a_failed_run() {
    let mut harness = Harness::new(&[worker("w1", 8)]);
    let mut pauses = Vec::new();
    for job in 1..=2 {
        harness.submit(job, vec![step(1, 4)]);
        let begun = harness.now;
        while harness.starts.is_empty() && harness.now < begun + 10_000 {
            harness.advance(20);
        }
        pauses.push(harness.now - begun);
        harness.answer_starts(OrderOutcome::Accepted);
        harness.answer_poll("w1", &[], &[(job, task(job, 0, 0), 1, RunEnd::Failed)]);
        harness.commit(Command::Cancel { job: JobKey(job) });
    }
    harness.submit(3, vec![step(1, 4)]);
    let begun = harness.now;
    while harness.starts.is_empty() && harness.now < begun + 10_000 {
        harness.advance(20);
    }
    pauses.push(harness.now - begun);
    assert!(pauses[0] < 100, "{pauses:?}");
    assert!((900..1_200).contains(&pauses[1]), "{pauses:?}");
    assert!((1_900..2_300).contains(&pauses[2]), "{pauses:?}");
}

/// Guards against jobs that wait but are not counted as waiting: their tasks were placed, but their
/// workers do not answer or cannot be reached, so nothing has started.
#[parameterized(
    not_answered = { OrderOutcome::Unanswered, 1 },
    not_sent = { OrderOutcome::NotSent, 1 },
    not_reached = { OrderOutcome::Refused(Refusal::Unreachable), 1 },
    started = { OrderOutcome::Accepted, 0 },
)]
fn job_without_a_started_task_counts_as_unstarted(outcome: OrderOutcome, expected: u64) {
    let mut harness = Harness::new(&[worker("w1", 8)]);
    harness.submit(1, vec![step(2, 4)]);
    for _ in 0..3 {
        harness.answer_starts(outcome);
        harness.advance(300);
    }
    assert_eq!(harness.phase(1), Some(JobPhase::Running));
    let counts = harness.dispatcher.unstarted_jobs();
    assert_eq!(counts.values().sum::<u64>(), expected, "{counts:?}");
}

/// Guards against a job that is not counted as waiting although its only task waits until no late order
/// for its first run can be carried out any more.
#[test]
fn job_that_waits_for_a_late_order_counts_as_unstarted() {
    let mut harness = Harness::new(&[worker("w1", 8)]);
    harness.submit(1, vec![step(1, 4)]);
    for _ in 0..2 {
        harness.answer_starts(OrderOutcome::Unanswered);
        harness.advance(20);
    }
    harness.answer_stops(OrderOutcome::Accepted);
    harness.advance(1_300);
    // The first of these polls was sent before the stop was accepted.
    harness.answer_poll("w1", &[], &[]);
    harness.answer_poll("w1", &[], &[]);
    harness.advance(100);
    assert_eq!((harness.lost_runs(), harness.starts.len()), (1, 0));
    let counts = harness.dispatcher.unstarted_jobs();
    assert_eq!(counts.values().sum::<u64>(), 1, "{counts:?}");
}

/// Guards against more work on a worker than it holds while a run goes on there that the leader does
/// not expect, for example one whose start order was carried out late.
#[parameterized(
    job_is_known = { 1, 0 },
    job_is_not_known = { 77, 0 },
)]
fn unexpected_run_keeps_its_capacity_until_its_end_is_listed(job: u64, starts_meanwhile: usize) {
    let mut harness = Harness::new(&[worker("w1", 8)]);
    harness.submit(1, vec![step(1, 6)]);
    harness.answer_starts(OrderOutcome::Accepted);
    let done = (1, task(1, 0, 0), 1, RunEnd::Done);
    harness.answer_poll("w1", &[(task(job, 0, 0), 2)], &[done]);
    harness.submit(2, vec![step(1, 4)]);
    harness.advance(100);
    assert_eq!(harness.starts.len(), starts_meanwhile);
    let stopped = harness.answer_stops(OrderOutcome::Accepted);
    assert_eq!((stopped[0].task, stopped[0].run), (task(job, 0, 0), 2));
    let stopped = (2, task(job, 0, 0), 2, RunEnd::Stopped);
    harness.answer_poll("w1", &[], &[stopped]);
    harness.advance(100);
    assert_eq!(harness.starts.len(), 1);
}
