//! Filling tasks beside tasks that serve users.

mod common;

use common::{World, step, task, worker};
use tarragon_dispatch::{Input, OrderOutcome, PaceOrder, RunningRow};
use tarragon_names::Millis;
use tarragon_workflow::{StepSpec, TaskKey};
use yare::parameterized;

const TARGET_MS: u64 = 100;

/// A worker with a serving task (job 1) and a filling one (job 2).
fn world() -> World {
    let mut world = World::new(&[worker("w1", 8)]);
    let serving = StepSpec {
        long_running: true,
        target_latency: Some(Millis(TARGET_MS)),
        ..step(1, 4)
    };
    let filling = StepSpec {
        best_effort: true,
        ..step(1, 8)
    };
    world.submit(1, vec![serving]);
    world.submit(2, vec![filling]);
    assert_eq!(world.answer_starts(OrderOutcome::Accepted).len(), 2);
    world
}

fn row(task: TaskKey, percent: u64, figure: u64) -> RunningRow {
    RunningRow {
        task,
        run: 1,
        saved: None,
        percent,
        figure: Some(figure),
    }
}

/// A look that shows the serving task with this tail.
fn look(world: &mut World, tail_ms: u64) {
    let rows = vec![
        row(task(1, 0, 0), 100, tail_ms),
        row(task(2, 0, 0), 10, 2_000),
    ];
    world.hold_rows("w1", rows, &[]);
}

fn answer_paces(world: &mut World, outcome: OrderOutcome) -> Vec<PaceOrder> {
    let paces = std::mem::take(&mut world.paces);
    for order in &paces {
        world.input(Input::PaceEnded {
            fence: order.fence,
            life: order.life.clone(),
            task: order.task,
            run: order.run,
            outcome,
        });
    }
    paces
}

/// Guards against filling work that keeps a serving task over its target, and against work that is
/// held back without need.
#[parameterized(
    over_its_target = { 101, &[0] },
    close_to_its_target = { 90, &[] },
    far_below_its_target = { 20, &[] },
)]
fn filling_task_is_held_back_when_it_harms(tail_ms: u64, expected: &[u64]) {
    let mut world = world();
    look(&mut world, tail_ms);
    let paces = answer_paces(&mut world, OrderOutcome::Accepted);
    let percents = paces.iter().map(|order| order.percent).collect::<Vec<_>>();
    assert_eq!(percents, expected);
    assert!(paces.iter().all(|order| order.task == task(2, 0, 0)));
}

/// Guards against filling work that stands still for good, and against a pace that goes up and down.
#[test]
fn held_back_task_works_again_step_by_step() {
    let mut world = world();
    look(&mut world, 150);
    answer_paces(&mut world, OrderOutcome::Accepted);
    let mut percents = Vec::new();
    for _ in 0..30 {
        world.pass(500);
        look(&mut world, 20);
        let paces = answer_paces(&mut world, OrderOutcome::Accepted);
        percents.extend(paces.iter().map(|order| order.percent));
    }
    assert_eq!(percents, [25, 50, 75, 100]);
}

/// Guards against a task that goes on working because the order to hold it back was lost.
#[parameterized(unanswered = { OrderOutcome::Unanswered })]
fn lost_order_is_sent_again(outcome: OrderOutcome) {
    let mut world = world();
    look(&mut world, 150);
    assert_eq!(answer_paces(&mut world, outcome).len(), 1);
    world.pass(100);
    look(&mut world, 150);
    assert_eq!(answer_paces(&mut world, OrderOutcome::Accepted).len(), 1);
    world.pass(100);
    look(&mut world, 150);
    assert!(world.paces.is_empty());
}

/// Guards against a task that an earlier leader held back and that nobody lets work again.
#[test]
fn new_leader_orders_the_pace_anew() {
    let mut world = world();
    look(&mut world, 150);
    answer_paces(&mut world, OrderOutcome::Accepted);
    world.elect();
    look(&mut world, 20);
    let paces = answer_paces(&mut world, OrderOutcome::Accepted);
    assert_eq!(paces.len(), 1);
    assert_eq!(paces[0].percent, 100);
}

/// Guards against an upkeep that counts a task as at work which is still starting or held back.
#[test]
fn only_full_work_counts_as_at_work() {
    let mut world = World::new(&[worker("w1", 8)]);
    let bounded = StepSpec {
        long_running: true,
        max_unavailable: Some(1),
        ..step(1, 4)
    };
    world.submit(1, vec![bounded]);
    world.answer_starts(OrderOutcome::Accepted);
    for (percent, is_at_work) in [(0, false), (60, false), (100, true)] {
        world.hold_rows("w1", vec![row(task(1, 0, 0), percent, 0)], &[]);
        let at_work = world.dispatcher.bounded_at_work();
        assert_eq!(at_work.contains(&task(1, 0, 0)), is_at_work, "{percent}");
    }
}
