//! Leases of workers that restart under their names while calls for the incarnation before are on their
//! way.

mod common;

use common::{EPOCH_MS, Harness, first_runs, step, task, worker};
use tarragon_dispatch::{
    FencingToken, OrderOutcome, PollAnswer, PollCall, PollOutcome, StartOrder,
};
use tarragon_names::Millis;
use tarragon_workflow::{Command, StepSpec, TaskKey, WorkerRecord};
use yare::parameterized;

const NAME: &str = "w1";

/// Time for which the incarnation before has run, in milliseconds. Its clock is ahead by this.
const UPTIME_MS: u64 = 60_000;

/// Longest lease that a worker takes, in milliseconds; a longer one is shortened to it.
const MAX_LEASE_MS: u64 = 10_000;

/// Time within which a silent worker's runs have to be declared lost, in milliseconds.
const MAX_SILENCE_MS: u64 = 60_000;

/// Call for the incarnation before that the next one receives.
#[derive(Clone, Copy, Eq, PartialEq)]
enum Call {
    Start,
    Poll,
}

/// Time at which the next incarnation receives it.
#[derive(Clone, Copy, Eq, PartialEq)]
enum Arrival {
    BeforeFirstPoll,
    BeforeCut,
}

/// The next incarnation. Its clock starts at 0, and it knows no fencing token.
struct NextIncarnation {
    started_at: u64,
    fence: Option<FencingToken>,
    lease_until_ms: u64,
}

impl NextIncarnation {
    fn start(harness: &mut Harness) -> Self {
        harness.commit(Command::PutWorker(Self::record()));
        harness.advance(20);
        Self {
            started_at: harness.now,
            fence: None,
            lease_until_ms: 0,
        }
    }

    fn record() -> WorkerRecord {
        let mut record = worker(NAME, 8);
        record.incarnation.started_ms += UPTIME_MS;
        record
    }

    /// Extends the lease, unless the caller's fencing token is lower than the highest that was seen. A
    /// start order extends it also if it starts nothing.
    fn receive(&mut self, harness: &Harness, fence: FencingToken, lease_until_ms: Option<u64>) {
        if Some(fence) < self.fence {
            return;
        }
        self.fence = Some(fence);
        let longest = harness.now - self.started_at + MAX_LEASE_MS;
        let until = lease_until_ms.map_or(0, |until| until.min(longest));
        self.lease_until_ms = self.lease_until_ms.max(until);
    }

    fn receive_start(&mut self, harness: &Harness, order: &StartOrder) {
        self.receive(harness, order.fence, Some(order.lease_until_ms));
    }

    fn receive_poll(&mut self, harness: &Harness, call: &PollCall) {
        self.receive(harness, call.fence, call.lease_until_ms);
    }

    /// Receives the open poll and answers with these runs.
    fn answer_poll(&mut self, harness: &mut Harness, running: &[TaskKey]) {
        let call = harness.polls.iter().find(|call| Self::is_meant(call));
        let call = call.expect("a poll of the incarnation is open").clone();
        self.receive_poll(harness, &call);
        let answer = PollAnswer {
            started_ms: Some(EPOCH_MS + UPTIME_MS),
            clock_ms: harness.now - self.started_at,
            running: first_runs(running),
            finished: Vec::new(),
            is_truncated: false,
        };
        harness.finish_poll(NAME, PollOutcome::Answered(answer));
    }

    fn is_meant(call: &PollCall) -> bool {
        call.incarnation == Self::record().incarnation
    }
}

/// Lets a worker restart and start a run, receive a call for the incarnation before, and be cut off.
fn cut_off_after_restart(call: Call, arrival: Arrival) -> (Harness, NextIncarnation, TaskKey) {
    let mut harness = Harness::new(&[worker(NAME, 8)]);
    harness.advance(UPTIME_MS);
    harness.answer_poll(NAME, &[], &[]);
    let long = StepSpec {
        estimate: Millis(UPTIME_MS),
        ..step(1, 4)
    };
    harness.submit(1, vec![long.clone()]);
    let late_start = harness.answer_starts(OrderOutcome::Unanswered).remove(0);
    let late_poll = harness.polls.last().expect("a poll is open").clone();
    harness.time_out_poll(NAME);

    let mut next = NextIncarnation::start(&mut harness);
    let receive_late = |next: &mut NextIncarnation, harness: &Harness| match call {
        Call::Start => next.receive_start(harness, &late_start),
        Call::Poll => next.receive_poll(harness, &late_poll),
    };
    if arrival == Arrival::BeforeFirstPoll {
        receive_late(&mut next, &harness);
    }
    next.answer_poll(&mut harness, &[]);
    harness.starts.clear();
    harness.submit(2, vec![long]);
    let running = task(2, 0, 0);
    for order in harness.answer_starts(OrderOutcome::Accepted) {
        next.receive_start(&harness, &order);
    }
    next.answer_poll(&mut harness, &[running]);
    if arrival == Arrival::BeforeCut {
        harness.advance(80);
        receive_late(&mut next, &harness);
    }
    (harness, next, running)
}

/// Lets the worker stay silent until its run is declared lost, and checks that its lease has ended.
fn check_lease_when_lost(mut harness: Harness, next: &NextIncarnation, running: TaskKey) {
    let cut_at = harness.now;
    while !harness.is_lost(running) {
        assert!(harness.now < cut_at + MAX_SILENCE_MS, "the task waits");
        if !harness.polls.is_empty() {
            harness.time_out_poll(NAME);
        }
        harness.answer_stops(OrderOutcome::Unanswered);
        harness.advance(20);
    }
    let ends_at = next.started_at + next.lease_until_ms;
    assert!(harness.now >= ends_at, "{} before {ends_at}", harness.now);
}

/// Guards against a run that goes on while its task runs again elsewhere: a call for the incarnation
/// before grants the next one a longer lease than the leader counts with, because its end is a reading
/// of the earlier clock.
#[parameterized(
    start_before_the_first_poll = { Call::Start, Arrival::BeforeFirstPoll },
    poll_before_the_first_poll = { Call::Poll, Arrival::BeforeFirstPoll },
    start_before_the_cut = { Call::Start, Arrival::BeforeCut },
    poll_before_the_cut = { Call::Poll, Arrival::BeforeCut },
)]
fn run_is_not_lost_before_the_lease_of_the_next_incarnation_ends(call: Call, arrival: Arrival) {
    let (harness, next, running) = cut_off_after_restart(call, arrival);
    check_lease_when_lost(harness, &next, running);
}

/// Guards against the same when another host is elected right after the restart and never reaches the
/// worker.
#[parameterized(
    start = { Call::Start },
    poll = { Call::Poll },
)]
fn next_leader_waits_for_the_lease_of_a_restarted_worker(call: Call) {
    let (mut harness, next, running) = cut_off_after_restart(call, Arrival::BeforeFirstPoll);
    harness.elect_new_leader();
    check_lease_when_lost(harness, &next, running);
}

/// Guards against a run that is declared lost while its start order may still reach the next incarnation
/// of its worker, which has not answered yet.
#[test]
fn run_is_not_lost_before_its_start_order_can_no_longer_arrive() {
    let mut harness = Harness::new(&[worker(NAME, 8)]);
    harness.advance(UPTIME_MS);
    harness.answer_poll(NAME, &[], &[]);
    harness.submit(1, vec![step(1, 4)]);
    let late_start = harness.answer_starts(OrderOutcome::Unanswered).remove(0);
    harness.time_out_poll(NAME);

    let mut next = NextIncarnation::start(&mut harness);
    for _ in 0..50 {
        harness.answer_stops(OrderOutcome::Unanswered);
        if !harness.polls.is_empty() {
            harness.time_out_poll(NAME);
        }
        harness.advance(100);
    }
    next.receive_start(&harness, &late_start);
    assert!(next.lease_until_ms > 0, "the order starts the run");
    assert!(!harness.is_lost(task(1, 0, 0)));
}
