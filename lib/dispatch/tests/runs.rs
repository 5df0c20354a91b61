//! The life of a run: decided in the log, ordered, seen, ended.

mod common;

use common::{World, life, step, task, worker};
use tarragon_dispatch::{Input, OrderOutcome, Refusal};
use tarragon_workflow::{Command, JobKey, JobPhase, RunEnd, RunEvent, StepSpec};
use yare::parameterized;

fn gang(count: u32, cores: u64) -> StepSpec {
    StepSpec {
        gang: true,
        ..step(count, cores)
    }
}

/// Guards against work that is never started or never shown as done.
#[test]
fn job_runs_to_its_end() {
    let mut world = World::new(&[worker("w1", 8)]);
    world.submit(
        1,
        vec![
            step(2, 4),
            StepSpec {
                depends_on: vec![0],
                ..step(1, 8)
            },
        ],
    );
    assert_eq!(world.answer_starts(OrderOutcome::Accepted).len(), 2);
    let (a, b, c) = (task(1, 0, 0), task(1, 0, 1), task(1, 1, 0));
    world.hold("w1", &[(b, 1)], &[(1, a, 1, RunEnd::Done)]);
    assert!(
        world.starts.is_empty(),
        "the second step waits for the first"
    );
    world.hold("w1", &[], &[(2, b, 1, RunEnd::Done)]);
    world.pass(20);
    assert_eq!(world.answer_starts(OrderOutcome::Accepted)[0].task, c);
    assert_eq!(world.phase(1), Some(JobPhase::Running));
    world.hold("w1", &[], &[(3, c, 1, RunEnd::Done)]);
    assert_eq!(world.phase(1), Some(JobPhase::Completed));
}

/// Guards against an order that another leader could not know of.
#[test]
fn start_waits_for_the_commit_of_its_decision() {
    let mut world = World::new(&[worker("w1", 8)]);
    world.is_log_held = true;
    world.submit(1, vec![step(1, 4)]);
    assert!(world.starts.is_empty());
    world.release_log();
    assert_eq!(world.starts.len(), 1);
}

/// Guards against an acknowledgement of an end that a later leader does not know.
#[test]
fn end_is_acknowledged_after_its_commit() {
    let mut world = World::new(&[worker("w1", 8)]);
    world.submit(1, vec![step(1, 4)]);
    world.answer_starts(OrderOutcome::Accepted);
    world.is_log_held = true;
    world.hold("w1", &[], &[(1, task(1, 0, 0), 1, RunEnd::Done)]);
    world.pass(100);
    assert!(
        world.holds.is_empty(),
        "the next look would acknowledge or list the end again"
    );
    world.release_log();
    assert_eq!(world.holds[0].acknowledged, 1);
}

/// Guards against more work on a worker than it holds.
#[test]
fn worker_is_not_filled_beyond_its_capacity() {
    let mut world = World::new(&[worker("w1", 8)]);
    world.submit(1, vec![step(5, 3)]);
    assert_eq!(world.answer_starts(OrderOutcome::Accepted).len(), 2);
    let (a, b) = (task(1, 0, 0), task(1, 0, 1));
    world.hold("w1", &[(b, 1)], &[(1, a, 1, RunEnd::Done)]);
    world.pass(20);
    assert_eq!(world.starts.len(), 1);
}

/// Guards against a run that a new leader adopts and then takes for one that was never sent: its
/// room was given away while it was still running.
#[parameterized(
    cancelled = { false },
    gang_broken = { true },
)]
fn adopted_run_is_stopped_before_its_room_is_free(is_gang_broken: bool) {
    let mut world = World::new(&[worker("w1", 8), worker("w2", 8)]);
    world.submit(1, vec![gang(2, 8)]);
    world.answer_starts(OrderOutcome::Accepted);
    world.elect();
    let (a, b) = (task(1, 0, 0), task(1, 0, 1));
    world.hold("w1", &[(a, 1)], &[]);
    world.hold("w2", &[(b, 1)], &[]);
    if is_gang_broken {
        world.commit(Command::RemoveWorker(life("w1")));
    } else {
        world.commit(Command::Cancel { job: JobKey(1) });
    }
    let of_adopted =
        |record: &&RunEvent| matches!(record, RunEvent::Lost { task, .. } if *task == b);
    assert_eq!(world.proposed.iter().filter(of_adopted).count(), 0);
    assert!(world.stops.iter().any(|order| order.task == b));
}

/// Guards against two runs of a task when the order of one is carried out late.
#[test]
fn unanswered_start_is_stopped_before_the_task_runs_elsewhere() {
    let mut world = World::new(&[worker("w1", 8), worker("w2", 8)]);
    world.submit(1, vec![step(1, 4)]);
    let first = world.answer_starts(OrderOutcome::Unanswered);
    world.pass(100);
    let second = world.answer_starts(OrderOutcome::Unanswered);
    assert_eq!(first[0].run, second[0].run, "the same run is sent again");
    world.pass(500);
    assert!(world.starts.is_empty());
    assert_eq!(world.answer_stops(OrderOutcome::Accepted).len(), 1);
    assert_eq!(
        world.lost(),
        0,
        "the late order may have begun just before the stop"
    );
    world.pass(1_300);
    let of = first[0].life.worker.to_string();
    world.hold(&of, &[], &[]);
    world.hold(&of, &[], &[]);
    assert_eq!(world.lost(), 1);
    world.pass(20);
    assert_eq!(world.starts[0].run, 2);
}

/// Guards against a task that stays lost after a refusal, and against a second run where an
/// earlier order may still arrive.
#[parameterized(
    no_room = { Refusal::Room, 1, 0 },
    lease_over = { Refusal::Late, 1, 0 },
    other_life = { Refusal::OtherLife, 1, 0 },
)]
fn refused_start(refusal: Refusal, lost: usize, stops: usize) {
    let mut world = World::new(&[worker("w1", 8)]);
    world.submit(1, vec![step(1, 4)]);
    world.answer_starts(OrderOutcome::Refused(refusal));
    assert_eq!(world.lost(), lost);
    assert_eq!(world.stops.len(), stops);
}

/// Guards against a gang of which a part waits for members that never come.
#[test]
fn gang_is_stopped_when_a_member_does_not_start() {
    let mut world = World::new(&[worker("w1", 8), worker("w2", 8)]);
    world.submit(1, vec![gang(2, 8)]);
    let starts = std::mem::take(&mut world.starts);
    assert_eq!(starts.len(), 2);
    for (order, outcome) in starts
        .iter()
        .zip([OrderOutcome::Accepted, OrderOutcome::Refused(Refusal::Room)])
    {
        world.input(Input::StartEnded {
            fence: order.fence,
            life: order.life.clone(),
            task: order.task,
            run: order.run,
            outcome,
        });
    }
    assert_eq!(world.stops.len(), 1);
    assert_eq!(world.stops[0].task, starts[0].task);
}

/// Guards against a second run while the worker of the first may still run it.
#[test]
fn run_on_a_silent_worker_is_lost_only_after_its_lease() {
    let mut world = World::new(&[worker("w1", 8), worker("w2", 8)]);
    world.submit(1, vec![step(1, 4)]);
    let started = world.answer_starts(OrderOutcome::Accepted);
    let of = started[0].life.worker.to_string();
    let mut waited = 0;
    while world.lost() == 0 {
        if world
            .holds
            .iter()
            .any(|call| call.life.worker.as_str() == of)
        {
            world.hold_fails(&of);
        }
        world.pass(100);
        waited += 100;
        assert!(waited < 20_000, "the run is never declared lost");
    }
    // Lease of the first look at the longest that an earlier leader may have given, on a clock that
    // is 2% slow.
    assert!(waited >= 10_000, "lost after {waited} ms");
}

/// Guards against an answer to an earlier term of the same host that is taken for a look at the
/// state of the present one.
#[test]
fn answer_to_an_earlier_term_is_left_aside() {
    let mut world = World::new(&[worker("w1", 8)]);
    world.submit(1, vec![step(1, 4)]);
    world.answer_starts(OrderOutcome::Accepted);
    world.input(Input::LostLeadership);
    world.term += 1;
    let term = world.term;
    world.input(Input::BecameLeader { term });
    world.input(Input::Held {
        fence: term - 1,
        life: life("w1"),
        outcome: tarragon_dispatch::HoldOutcome::Unanswered,
    });
    world.pass(20);
    let open = world.holds.iter().filter(|call| call.fence == term);
    assert_eq!(
        open.count(),
        1,
        "the look of the present term is still open"
    );
}

/// Guards against a lease that a deposed leader renews after its successor counts it as ended, and
/// against its orders, as after a pause.
#[test]
fn leader_that_may_be_deposed_gives_no_lease_and_no_order() {
    let mut world = World::new(&[worker("w1", 8)]);
    world.hold("w1", &[], &[]);
    world.holds.clear();
    world.is_sole_leader = false;
    let waiting = world.held_commands.len();
    world.submit(1, vec![step(1, 4)]);
    world.pass(2_000);
    assert!(world.starts.is_empty() && world.holds.is_empty());
    assert_eq!(world.held_commands.len(), waiting);
    world.is_sole_leader = true;
    world.pass(20);
    assert_eq!(
        world.starts.len(),
        1,
        "the order goes out once the lease holds again"
    );
}

/// Guards against two runs of a task when a worker starts again under its name and then gets an
/// order that was meant for its last life.
#[test]
fn next_life_of_a_worker_refuses_orders_for_the_last_one() {
    let mut world = World::new(&[worker("w1", 8), worker("w2", 8)]);
    world.submit(1, vec![step(1, 4)]);
    let order = std::mem::take(&mut world.starts).remove(0);
    let name = order.life.worker.to_string();
    let mut reborn = worker(&name, 8);
    reborn.incarnation.started_ms += 1;
    world.commit(Command::PutWorker(reborn));
    world.pass(100);
    assert!(world.starts.is_empty(), "the order may still be on its way");
    let stops = world.answer_stops(OrderOutcome::Accepted);
    assert_eq!(stops[0].task, order.task);
    assert_ne!(stops[0].life, order.life);
    assert_eq!(world.lost(), 0);
}
