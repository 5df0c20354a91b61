//! Workers that restart under their names while the leader only finds them silent.

mod common;

use common::{EPOCH_MS, Harness, first_runs, step, task, worker};
use tarragon_dispatch::{OrderOutcome, PollAnswer, PollOutcome, Refusal};
use tarragon_names::Millis;
use tarragon_workflow::{Command, RunEnd, StepSpec, TaskKey};
use yare::parameterized;

const NAME: &str = "w1";

/// Longest lease that a worker takes, in milliseconds.
const MAX_LEASE_MS: u64 = 10_000;

/// The same on a clock that is 2% slow, in milliseconds.
const LONGEST_LEASE_MS: u64 = MAX_LEASE_MS * 102 / 100;

/// Time for which a call without an answer may still be carried out, in milliseconds.
const LATE_CALL_MS: u64 = 30_000;

/// Time within which runs on a silent worker have to be declared lost, in milliseconds.
const MAX_WAIT_MS: u64 = 60_000;

fn long_step() -> StepSpec {
    StepSpec {
        estimate: Millis(60_000),
        ..step(1, 4)
    }
}

/// Answer to the open poll by an incarnation that started later than the recorded one.
fn answer_as_next_incarnation(harness: &mut Harness, running: &[TaskKey]) {
    answer_as_incarnation(harness, EPOCH_MS + 1, running);
}

fn answer_as_incarnation(harness: &mut Harness, started_ms: u64, running: &[TaskKey]) {
    while harness.polls.is_empty() {
        harness.advance(20);
    }
    let answer = PollAnswer {
        started_ms: Some(started_ms),
        clock_ms: 0,
        running: first_runs(running),
        finished: Vec::new(),
        is_truncated: false,
    };
    harness.finish_poll(NAME, PollOutcome::Answered(answer));
}

/// Lets the polls of the worker fail until the run is declared lost.
fn wait_until_lost(harness: &mut Harness, lost: TaskKey) {
    let begun = harness.now;
    while !harness.is_lost(lost) {
        assert!(harness.now < begun + MAX_WAIT_MS, "the task waits for good");
        if !harness.polls.is_empty() {
            harness.time_out_poll(NAME);
        }
        harness.answer_stops(OrderOutcome::Unanswered);
        harness.advance(20);
    }
}

/// Guards against a task that runs twice because its start order reaches a restarted worker before that
/// has announced itself: the first call that gets through has to shut out the orders sent before it.
#[test]
fn first_call_after_silence_shuts_out_earlier_orders() {
    let mut harness = Harness::new(&[worker(NAME, 8)]);
    harness.submit(1, vec![long_step()]);
    let late = harness.answer_starts(OrderOutcome::Unanswered).remove(0);
    harness.time_out_poll(NAME);
    harness.advance(500);
    assert!(harness.polls[0].fence > late.fence);
}

/// Guards against a late order that a restarted worker carries out between its first answer, to a call
/// with the token of that order, and its announcement.
#[test]
fn call_after_the_answer_of_the_next_incarnation_shuts_out_earlier_orders() {
    let mut harness = Harness::new(&[worker(NAME, 8)]);
    harness.submit(1, vec![long_step()]);
    let late = harness.answer_starts(OrderOutcome::Unanswered).remove(0);
    answer_as_next_incarnation(&mut harness, &[]);
    harness.advance(40);
    assert!(harness.polls[0].fence > late.fence);
}

/// Guards against a start order that a silent worker carries out late, after its restart. A run that was
/// not ordered yet starts elsewhere at once.
#[test]
fn silent_worker_gets_no_start_orders() {
    let mut harness = Harness::new(&[worker(NAME, 8)]);
    harness.submit(1, vec![long_step()]);
    harness.time_out_poll(NAME);
    harness.answer_starts(OrderOutcome::Unanswered);
    harness.advance(200);
    assert!(harness.starts.is_empty(), "the worker is silent");

    harness.advance(200);
    harness.answer_poll(NAME, &[], &[]);
    harness.advance(40);
    let again = harness.starts.first().expect("the worker answers again");
    assert_eq!((again.task, again.run), (task(1, 0, 0), 1));
}

/// Guards against a run that waits for a silent worker although no order for it was sent.
#[test]
fn run_without_an_order_leaves_a_silent_worker() {
    let mut harness = Harness::new(&[worker(NAME, 8)]);
    harness.is_log_paused = true;
    harness.submit(1, vec![long_step()]);
    harness.time_out_poll(NAME);
    harness.resume_log();
    harness.advance(40);
    assert!(harness.starts.is_empty(), "the worker is silent");
    assert!(harness.is_lost(task(1, 0, 0)));
}

/// Guards against a worker without polls and leases: it refuses an order that was sent before its silence
/// for its lower token, which says nothing about other leaders.
#[test]
fn order_from_before_the_silence_is_sent_again_after_its_refusal() {
    let mut harness = Harness::new(&[worker(NAME, 8)]);
    harness.submit(1, vec![long_step()]);
    harness.time_out_poll(NAME);
    harness.advance(500);
    harness.answer_poll(NAME, &[], &[]);
    harness.answer_starts(OrderOutcome::Refused(Refusal::Fence));
    harness.advance(200);
    assert!(!harness.polls.is_empty(), "the worker is polled");
    assert_eq!(harness.starts[0].fence, harness.polls[0].fence);
    harness.answer_starts(OrderOutcome::Accepted);
    harness.answer_poll(NAME, &[(task(1, 0, 0), 1)], &[]);
    assert_eq!(harness.lost_runs(), 0);
}

/// Guards against a run that goes on while its task runs again elsewhere: a worker restarts, carries out
/// the start order and is cut off before anybody notices the restart. It takes a longer lease than the
/// one that the leader granted on the clock of the incarnation before.
#[parameterized(
    accepted = { OrderOutcome::Accepted },
    unanswered = { OrderOutcome::Unanswered },
)]
fn run_is_not_lost_before_the_lease_of_an_unnoticed_incarnation_ends(outcome: OrderOutcome) {
    let mut harness = Harness::new(&[worker(NAME, 8)]);
    harness.submit(1, vec![long_step()]);
    let accepted_at = harness.now;
    harness.answer_starts(outcome);
    wait_until_lost(&mut harness, task(1, 0, 0));
    assert!(harness.now >= accepted_at + LONGEST_LEASE_MS);
}

/// Guards against a lease that is counted from the start order of the run alone: each later call with a
/// lease extends it.
#[parameterized(
    start_of_another_run = { true },
    poll_after_a_late_answer = { false },
)]
fn later_call_extends_the_lease_of_an_unnoticed_incarnation(is_start: bool) {
    let mut harness = Harness::new(&[worker(NAME, 8)]);
    harness.submit(1, vec![long_step()]);
    harness.answer_starts(OrderOutcome::Accepted);
    harness.advance(1_500);
    if is_start {
        harness.submit(2, vec![long_step()]);
        assert_eq!(harness.answer_starts(OrderOutcome::Accepted).len(), 1);
    } else {
        harness.answer_poll(NAME, &[], &[]);
        assert!(harness.polls[0].lease_until_ms.is_some());
    }
    let extended_at = harness.now;
    wait_until_lost(&mut harness, task(1, 0, 0));
    assert!(harness.now >= extended_at + LONGEST_LEASE_MS);
}

/// Guards against a lease that is counted from the sending of an order that a host delivered late.
#[test]
fn lease_counts_from_the_accepted_answer() {
    let mut harness = Harness::new(&[worker(NAME, 8)]);
    harness.submit(1, vec![long_step()]);
    harness.advance(950);
    let accepted_at = harness.now;
    harness.answer_starts(OrderOutcome::Accepted);
    wait_until_lost(&mut harness, task(1, 0, 0));
    assert!(harness.now >= accepted_at + LONGEST_LEASE_MS);
}

/// Guards against a run that is lost before the lease from an answered poll ends: the next incarnation is
/// cut off after its first answer.
#[test]
fn incarnation_that_answered_once_is_waited_for() {
    let mut harness = Harness::new(&[worker(NAME, 8)]);
    harness.submit(1, vec![long_step()]);
    harness.answer_starts(OrderOutcome::Accepted);
    harness.advance(1_500);
    answer_as_next_incarnation(&mut harness, &[task(1, 0, 0)]);
    let seen_at = harness.now;
    wait_until_lost(&mut harness, task(1, 0, 0));
    assert!(harness.now >= seen_at + LONGEST_LEASE_MS);
}

/// Guards against an end that no leader has seen and that a restarted worker forgets: a poll whose result
/// a delivering host did not report may have reached the worker, so the next one acknowledges nothing and
/// grants nothing.
#[test]
fn poll_after_an_unreported_one_grants_and_acknowledges_nothing() {
    let mut harness = Harness::new(&[worker(NAME, 8)]);
    harness.submit(1, vec![step(1, 4)]);
    harness.answer_starts(OrderOutcome::Accepted);
    harness.answer_poll(NAME, &[(task(1, 0, 0), 1)], &[]);
    harness.answer_poll(NAME, &[], &[(1, task(1, 0, 0), 1, RunEnd::Done)]);
    harness.advance(2_000);
    harness.finish_poll(NAME, PollOutcome::NotSent);
    harness.advance(200);
    let next = &harness.polls[0];
    assert_eq!((next.acknowledged, next.lease_until_ms), (0, None));
}

/// Guards against members of a gang that are started and stopped in the same pass, because another member
/// is on a silent worker.
#[test]
fn gang_with_a_member_on_a_silent_worker_is_not_started() {
    let mut harness = Harness::new(&[worker(NAME, 8), worker("w2", 8)]);
    harness.is_log_paused = true;
    let gang = StepSpec {
        gang: true,
        ..step(2, 6)
    };
    harness.submit(1, vec![gang]);
    harness.time_out_poll("w2");
    harness.resume_log();
    harness.advance(40);
    assert!(harness.starts.is_empty(), "the gang is not whole");
    assert_eq!(harness.lost_runs(), 2);
}

/// Guards against a third incarnation that runs a late order: it has not seen the token that shut out the
/// calls for the first one.
#[test]
fn each_later_incarnation_is_shut_out() {
    let mut harness = Harness::new(&[worker(NAME, 8)]);
    harness.submit(1, vec![long_step()]);
    harness.answer_starts(OrderOutcome::Unanswered);
    answer_as_next_incarnation(&mut harness, &[]);
    answer_as_next_incarnation(&mut harness, &[]);
    let shut_out = harness.polls.last().map(|call| call.fence);
    answer_as_incarnation(&mut harness, EPOCH_MS + 2, &[]);
    harness.advance(40);
    assert!(harness.polls.last().map(|call| call.fence) > shut_out);
}

/// Guards against a run that a new leader declares lost too early: the worker restarted unnoticed under
/// the leader before and has carried out its start order, with the longest lease. A run that was placed
/// long before has been listed, and its task must not wait longer than its lease.
#[parameterized(
    placed_lately = { 1_000, true },
    placed_long_before = { 6_000, false },
)]
fn next_leader_counts_the_lease_of_an_unnoticed_incarnation(age_ms: u64, waits: bool) {
    let mut harness = Harness::new(&[worker(NAME, 8)]);
    harness.submit(1, vec![long_step()]);
    harness.answer_starts(OrderOutcome::Accepted);
    harness.advance(age_ms);
    harness.elect_follower();
    let elected_at = harness.now;
    wait_until_lost(&mut harness, task(1, 0, 0));
    let has_waited = harness.now >= elected_at + LONGEST_LEASE_MS;
    assert_eq!(has_waited, waits, "{} ms", harness.now - elected_at);
}

/// Guards against a silent worker whose confirmed runs wait longer than their lease.
#[test]
fn listed_run_is_lost_with_the_lease_of_its_incarnation() {
    let mut harness = Harness::new(&[worker(NAME, 8)]);
    harness.submit(1, vec![long_step()]);
    harness.answer_starts(OrderOutcome::Accepted);
    harness.answer_poll(NAME, &[(task(1, 0, 0), 1)], &[]);
    let silent_since = harness.now;
    wait_until_lost(&mut harness, task(1, 0, 0));
    assert!(harness.now < silent_since + MAX_LEASE_MS);
}

/// Guards against a run that is declared lost while the next incarnation, which answers polls but does
/// not announce itself, still holds a lease from a call for the incarnation before.
#[test]
fn run_of_an_unannounced_incarnation_is_not_lost_before_its_lease_ends() {
    let mut harness = Harness::new(&[worker(NAME, 8)]);
    harness.submit(1, vec![long_step()]);
    harness.answer_starts(OrderOutcome::Accepted);
    answer_as_next_incarnation(&mut harness, &[task(1, 0, 0)]);
    let shut_out_at = harness.now;
    while !harness.is_lost(task(1, 0, 0)) {
        assert!(harness.now < shut_out_at + MAX_WAIT_MS, "the task waits");
        if !harness.polls.is_empty() {
            answer_as_next_incarnation(&mut harness, &[task(1, 0, 0)]);
        }
        harness.advance(20);
    }
    assert!(harness.now >= shut_out_at + LONGEST_LEASE_MS);
}

/// Guards against a run that a new leader declares lost while a call for the incarnation before can still
/// start it or extend its lease: the leader before it recorded the restart, and nobody has reached the
/// new incarnation since.
#[test]
fn next_leader_waits_for_calls_to_the_incarnation_before() {
    let mut harness = restarted_before_an_election();
    let elected_at = harness.now;
    wait_until_lost(&mut harness, task(1, 0, 0));
    assert!(harness.now >= elected_at + LATE_CALL_MS + LONGEST_LEASE_MS);
}

/// Guards against a task that waits although no order can start its run any more.
#[test]
fn run_that_the_next_incarnation_does_not_list_is_lost_at_once() {
    let mut harness = restarted_before_an_election();
    harness.advance(100);
    harness.answer_poll(NAME, &[], &[]);
    assert!(harness.is_lost(task(1, 0, 0)));
}

/// A new leader over a worker whose restart is recorded and whose run is not confirmed since.
fn restarted_before_an_election() -> Harness {
    let mut harness = Harness::new(&[worker(NAME, 8)]);
    harness.submit(1, vec![long_step()]);
    harness.answer_starts(OrderOutcome::Accepted);
    harness.time_out_poll(NAME);
    let mut record = worker(NAME, 8);
    record.incarnation.started_ms += 1;
    harness.commit(Command::PutWorker(record));
    harness.elect_new_leader();
    harness
}
