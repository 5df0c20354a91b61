//! Which worker a task is given to, and what happens when it takes too long there.

mod common;

use common::{World, step, task, worker};
use tarragon_dispatch::OrderOutcome;
use tarragon_names::Millis;
use tarragon_workflow::{AdviceTerms, RunEnd, StepSpec};

fn terms() -> AdviceTerms {
    AdviceTerms {
        decide_us: 10_000,
        per_worker_us: 100,
        valid: Millis(1_500),
    }
}

/// Guards against a gang that waits for ever because it once ran too long on all the workers that
/// may run it.
#[test]
fn gang_returns_to_workers_that_it_was_moved_from() {
    let workers = [worker("w1", 8), worker("w2", 8)];
    let mut world = World::with_advice(&workers, Some(terms()));
    let gang = StepSpec {
        gang: true,
        ..step(2, 8)
    };
    world.submit(1, vec![gang]);
    world.answer_asks(&["w1", "w2"]);
    assert_eq!(world.answer_starts(OrderOutcome::Accepted).len(), 2);
    let (a, b) = (task(1, 0, 0), task(1, 0, 1));
    world.hold("w1", &[(a, 1)], &[]);
    world.hold("w2", &[(b, 1)], &[]);
    world.pass(6_000);
    assert_eq!(world.answer_stops(OrderOutcome::Accepted).len(), 2);
    world.hold("w1", &[], &[(1, a, 1, RunEnd::Stopped)]);
    world.hold("w2", &[], &[(1, b, 1, RunEnd::Stopped)]);
    world.pass(200);
    world.answer_asks(&["w1", "w2"]);
    assert_eq!(world.starts.len(), 2, "the gang starts again");
}

/// Guards against a task with too low an estimate that is moved again and again and never ends.
#[test]
fn run_gets_more_time_each_time_it_is_moved() {
    let mut world = World::new(&[worker("w1", 8)]);
    world.submit(1, vec![step(1, 4)]);
    let a = task(1, 0, 0);
    let mut times = Vec::new();
    for run in 1..4 {
        world.answer_starts(OrderOutcome::Accepted);
        world.hold("w1", &[(a, run)], &[]);
        let began = world.now;
        while world.stops.is_empty() {
            world.pass(100);
        }
        times.push(world.now - began);
        world.answer_stops(OrderOutcome::Accepted);
        world.hold("w1", &[], &[(u64::from(run), a, run, RunEnd::Stopped)]);
        world.pass(20);
    }
    // Three estimates of a second and two seconds more, doubled with each run; looks at time-outs
    // and steps of the test are 100 ms apart each.
    for (time, limit) in times.iter().zip([5_000, 10_000, 20_000]) {
        assert!((limit..limit + 300).contains(time), "{times:?}");
    }
}

/// Guards against more work for a worker on which everything stands still.
#[test]
fn worker_with_several_late_jobs_gets_no_more_work() {
    let mut world = World::new(&[worker("w1", 8), worker("w2", 8)]);
    world.submit(1, vec![step(1, 4)]);
    world.submit(2, vec![step(1, 4)]);
    let starts = world.answer_starts(OrderOutcome::Accepted);
    let on = starts[0].life.worker.to_string();
    assert!(starts.iter().all(|order| order.life.worker.as_str() == on));
    world.hold(&on, &[(task(1, 0, 0), 1), (task(2, 0, 0), 1)], &[]);
    world.pass(2_400);
    world.submit(3, vec![step(1, 1)]);
    assert_eq!(world.starts.len(), 1);
    assert_ne!(world.starts[0].life.worker.as_str(), on);
}

/// Guards against a ticket that is no longer valid, and against room that others take while it is
/// renewed.
#[test]
fn stale_ticket_is_renewed_while_the_room_is_kept() {
    let mut world = World::with_advice(&[worker("w1", 8)], Some(terms()));
    world.submit(1, vec![step(1, 8)]);
    world.submit(2, vec![step(1, 8)]);
    world.pass(40);
    world.answer_asks(&["w1"]);
    world.pass(40);
    assert_eq!(world.answer_starts(OrderOutcome::Accepted).len(), 1);
    let first = task(1, 0, 0);
    world.hold("w1", &[(first, 1)], &[]);
    world.pass(2_000);
    world.asks.clear();
    world.hold("w1", &[], &[(1, first, 1, RunEnd::Done)]);
    world.pass(40);
    assert!(world.starts.is_empty());
    assert_eq!(world.asks.len(), 1);
    world.submit(3, vec![step(1, 8)]);
    world.pass(20);
    world.answer_asks(&["w1"]);
    assert_eq!(world.starts.len(), 1);
    assert_eq!(world.starts[0].task, task(2, 0, 0));
    assert!(world.starts[0].ticket.is_some());
}

/// Guards against room that stays idle for the time of a long call once it is there.
#[test]
fn long_call_is_renewed_while_the_step_waits() {
    let long = AdviceTerms {
        decide_us: 650_000,
        per_worker_us: 9_200,
        valid: Millis(1_500),
    };
    let mut world = World::with_advice(&[worker("w1", 8)], Some(long));
    world.submit(1, vec![step(1, 8)]);
    world.pass(40);
    world.answer_asks(&["w1"]);
    world.pass(40);
    assert_eq!(world.answer_starts(OrderOutcome::Accepted).len(), 1);
    let first = task(1, 0, 0);
    world.hold("w1", &[(first, 1)], &[]);
    world.submit(2, vec![step(1, 8)]);
    for _ in 0..4 {
        world.pass(700);
        assert_eq!(world.answer_asks(&["w1"]).len(), 1, "the call is repeated");
    }
    world.hold("w1", &[], &[(1, first, 1, RunEnd::Done)]);
    world.pass(20);
    assert_eq!(
        world.starts.len(),
        1,
        "the ticket is fresh when the room is there"
    );
}

/// Guards against work that is moved away everywhere after a pause of the leader, in which runs
/// have ended that it could not see.
#[test]
fn runs_are_not_judged_right_after_a_pause_of_the_leader() {
    let mut world = World::new(&[worker("w1", 8)]);
    world.submit(1, vec![step(1, 4)]);
    world.answer_starts(OrderOutcome::Accepted);
    let a = task(1, 0, 0);
    world.hold("w1", &[(a, 1)], &[]);
    world.is_sole_leader = false;
    world.pass(8_000);
    world.is_sole_leader = true;
    world.pass(200);
    assert!(world.stops.is_empty(), "{:?}", world.stops);
    world.hold("w1", &[], &[(1, a, 1, RunEnd::Done)]);
    world.pass(3_000);
    assert!(world.stops.is_empty());
}
