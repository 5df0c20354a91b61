//! Room for urgent work that is made by stopping less urgent runs.

mod common;

use common::{LOW_QUEUE, World, step, task, worker};
use tarragon_dispatch::OrderOutcome;
use tarragon_names::Millis;
use tarragon_workflow::{AdviceTerms, RunEnd, StepSpec};
use yare::parameterized;

fn resumable(count: u32, cores: u64) -> StepSpec {
    StepSpec {
        checkpointing: true,
        estimate: Millis(4_000),
        ..step(count, cores)
    }
}

/// Work with time for the end of the runs that are stopped for it.
fn urgent(cores: u64) -> StepSpec {
    StepSpec {
        estimate: Millis(4_000),
        ..step(1, cores)
    }
}

fn gang(count: u32, cores: u64) -> StepSpec {
    StepSpec {
        gang: true,
        estimate: Millis(4_000),
        ..step(count, cores)
    }
}

/// A world whose one worker is filled by one run of the low queue.
fn filled(low: StepSpec) -> World {
    let mut world = World::new(&[worker("w1", 8)]);
    world.submit_to(LOW_QUEUE, 1, vec![low]);
    assert_eq!(world.answer_starts(OrderOutcome::Accepted).len(), 1);
    world.hold("w1", &[(task(1, 0, 0), 1)], &[]);
    world
}

/// Guards against urgent work that waits behind work which can go on later.
#[test]
fn urgent_step_gets_the_room_of_a_run_that_can_go_on_later() {
    let mut world = filled(resumable(1, 7));
    world.submit(2, vec![urgent(8)]);
    assert_eq!(world.answer_stops(OrderOutcome::Accepted).len(), 1);
    assert!(
        world.starts.is_empty(),
        "what is being stopped still counts"
    );
    // A job of the low queue must not take the room that was made.
    world.submit_to(LOW_QUEUE, 3, vec![step(1, 4)]);
    world.hold("w1", &[], &[(1, task(1, 0, 0), 1, RunEnd::Stopped)]);
    world.pass(20);
    let starts = world.answer_starts(OrderOutcome::Accepted);
    assert_eq!(starts.len(), 1);
    assert_eq!(starts[0].task, task(2, 0, 0));
}

/// Guards against work thrown away, or jobs broken, for more urgent ones.
#[parameterized(
    loses_its_work = { StepSpec { checkpointing: false, ..resumable(1, 7) } },
    breaks_a_gang = { StepSpec { gang: true, ..resumable(1, 7) } },
    serves_users = { StepSpec { long_running: true, ..resumable(1, 7) } },
)]
fn run_that_cannot_go_on_later_is_left_alone(low: StepSpec) {
    let mut world = filled(low);
    world.submit(2, vec![urgent(8)]);
    world.pass(100);
    assert!(world.stops.is_empty());
}

/// Guards against runs that are stopped for a gang which has no room even then.
#[test]
fn nothing_is_stopped_for_a_gang_that_does_not_fit_anyway() {
    let mut world = filled(resumable(1, 7));
    world.submit(2, vec![gang(2, 8)]);
    world.pass(100);
    assert!(world.stops.is_empty());
}

/// Guards against room for a gang that is made on more workers than it needs.
#[test]
fn gang_takes_free_room_first() {
    let mut world = World::new(&[worker("w1", 8), worker("w2", 8)]);
    world.submit_to(LOW_QUEUE, 1, vec![resumable(3, 4)]);
    let starts = world.answer_starts(OrderOutcome::Accepted);
    assert_eq!(starts.len(), 3);
    for name in ["w1", "w2"] {
        let there = starts.iter().filter(|s| s.life.worker.as_str() == name);
        let there = there.map(|s| (s.task, 1)).collect::<Vec<_>>();
        world.hold(name, &there, &[]);
    }
    world.submit(2, vec![gang(2, 4)]);
    let stops = world.answer_stops(OrderOutcome::Accepted);
    assert_eq!(stops.len(), 1, "one of the two tasks has room already");
    let worker = stops[0].life.worker.to_string();
    let left = starts
        .iter()
        .filter(|s| s.life.worker.as_str() == worker && s.task != stops[0].task)
        .map(|s| (s.task, 1))
        .collect::<Vec<_>>();
    world.hold(&worker, &left, &[(1, stops[0].task, 1, RunEnd::Stopped)]);
    world.pass(20);
    let started = world.answer_starts(OrderOutcome::Accepted);
    let of_gang = started.iter().filter(|s| s.task.step.job.0 == 2).count();
    assert_eq!(of_gang, 2);
}

/// Guards against a task that is stopped again and again and never ends.
#[test]
fn run_is_stopped_for_urgent_work_only_a_few_times() {
    let mut world = filled(resumable(1, 7));
    let low = task(1, 0, 0);
    let mut number = 0;
    let mut stopped = 0;
    for round in 0..5_u64 {
        let job = task(2 + round, 0, 0);
        world.submit(2 + round, vec![urgent(8)]);
        let stops = world.answer_stops(OrderOutcome::Accepted);
        if stops.is_empty() {
            break;
        }
        stopped += 1;
        number += 1;
        world.hold("w1", &[], &[(number, low, stops[0].run, RunEnd::Stopped)]);
        world.pass(20);
        world.answer_starts(OrderOutcome::Accepted);
        number += 1;
        world.hold("w1", &[], &[(number, job, 1, RunEnd::Done)]);
        world.pass(20);
        let again = world.answer_starts(OrderOutcome::Accepted);
        assert_eq!(again[0].task, low);
        world.hold("w1", &[(low, again[0].run)], &[]);
    }
    assert_eq!(stopped, 3);
}

/// Guards against runs that are stopped for a job whose objective passes before they have ended.
#[parameterized(
    long_job = { 4_000, 1 },
    short_job = { 500, 0 },
)]
fn runs_are_stopped_only_for_a_job_with_time_left(estimate_ms: u64, expected: usize) {
    let mut world = filled(resumable(1, 7));
    // The objective is half a second beyond twice the estimate; a stop takes up to 1.1 s here.
    let job = StepSpec {
        estimate: Millis(estimate_ms),
        ..step(1, 8)
    };
    world.submit(2, vec![job]);
    world.pass(200);
    assert_eq!(world.stops.len(), expected);
}

/// Guards against room that is made with tickets which are not valid any more when it is there.
#[test]
fn room_for_an_advised_step_is_made_once_its_workers_are_known() {
    let terms = AdviceTerms {
        decide_us: 10_000,
        per_worker_us: 100,
        valid: Millis(1_500),
    };
    let mut world = World::with_advice(&[worker("w1", 8), worker("w2", 8)], Some(terms));
    world.submit_to(LOW_QUEUE, 1, vec![resumable(2, 7)]);
    world.answer_asks(&["w1", "w2"]);
    let starts = world.answer_starts(OrderOutcome::Accepted);
    assert_eq!(starts.len(), 2);
    for start in &starts {
        world.hold(start.life.worker.as_str(), &[(start.task, 1)], &[]);
    }
    world.submit(2, vec![urgent(8)]);
    assert!(
        world.stops.is_empty(),
        "which worker may run it is not known"
    );
    world.answer_asks(&["w2"]);
    let stops = world.answer_stops(OrderOutcome::Accepted);
    assert_eq!(stops.len(), 1);
    assert_eq!(stops[0].life.worker.as_str(), "w2");
}
