//! Runs that take much longer than the other runs of their step.

mod common;
mod loaded_cluster;

use common::{step, task, worker};
use loaded_cluster::{LoadedCluster, Outcome};
use tarragon_dispatch::StartOrder;
use tarragon_names::Millis;
use tarragon_workflow::StepSpec;
use yare::parameterized;

/// Usual duration of a run, in milliseconds.
const DURATION_MS: u64 = 2_300;

/// Number of times that a straggler takes longer.
const STRAGGLER_FACTOR: u64 = 7;

/// Runs of a cluster that take longer than usual.
#[derive(Clone, Copy)]
enum Stragglers {
    /// The first run of the last of so many tasks.
    FirstRunOf(u32),
    /// Every run of the last of so many tasks.
    EveryRunOf(u32),
    /// The first runs of all tasks.
    AllFirstRuns,
}

fn cluster(
    workers: usize,
    stragglers: Stragglers,
    factor: u64,
) -> LoadedCluster<impl FnMut(&StartOrder) -> Outcome> {
    let records = (0..workers).map(|index| worker(&format!("w{index}"), 8));
    LoadedCluster::new(&records.collect::<Vec<_>>(), move |order: &StartOrder| {
        let is_slow = match stragglers {
            Stragglers::FirstRunOf(count) => order.task.index + 1 == count && order.run == 1,
            Stragglers::EveryRunOf(count) => order.task.index + 1 == count,
            Stragglers::AllFirstRuns => order.run == 1,
        };
        Outcome::done(DURATION_MS * if is_slow { factor } else { 1 })
    })
}

/// A step of tasks for whole workers.
fn of_estimate(count: u32, estimate: u64) -> StepSpec {
    StepSpec {
        estimate: Millis(estimate),
        ..step(count, 8)
    }
}

/// Replays runs that take seven times as long as usual. Guards against a job that ends after its
/// objective, here twice the estimate plus 500 ms, because one of its runs falls behind while other
/// workers are free.
#[parameterized(
    wide_step = { 6 },
    step_of_three = { 3 },
    alone = { 1 },
)]
fn straggler_is_moved_in_time(count: u32) {
    let mut cluster = cluster(8, Stragglers::FirstRunOf(count), STRAGGLER_FACTOR);
    cluster
        .harness
        .submit(1, vec![of_estimate(count, DURATION_MS)]);
    let begun = cluster.harness.now;
    cluster.advance(2 * DURATION_MS + 500);
    let ended = cluster.done.get(&task(1, 0, count - 1));
    assert!(
        ended.is_some_and(|ended| *ended <= begun + 2 * DURATION_MS + 500),
        "{ended:?}"
    );
    assert_eq!(cluster.harness.event_count("run_moved"), 1);
}

/// Guards against work that is thrown away where that brings nothing: the objective is met anyway, no
/// capacity is free, all runs of the step take as long, a new run ends hardly earlier, or the task
/// lasts.
#[parameterized(
    objective_is_met = { 8, Stragglers::FirstRunOf(6), 7, of_estimate(6, 20_000) },
    no_capacity = { 1, Stragglers::FirstRunOf(1), 7, of_estimate(1, DURATION_MS) },
    estimate_is_far_too_low = { 8, Stragglers::AllFirstRuns, 7, of_estimate(6, DURATION_MS) },
    little_slower = { 8, Stragglers::FirstRunOf(6), 2, of_estimate(6, DURATION_MS) },
    lasting = { 8, Stragglers::FirstRunOf(6), 7, StepSpec {
        long_running: true,
        ..of_estimate(6, DURATION_MS)
    } },
    best_effort = { 8, Stragglers::FirstRunOf(6), 7, StepSpec {
        best_effort: true,
        max_per_worker: Some(1),
        ..of_estimate(6, DURATION_MS)
    } },
)]
fn run_is_not_moved_in_vain(workers: usize, stragglers: Stragglers, factor: u64, step: StepSpec) {
    let mut cluster = cluster(workers, stragglers, factor);
    cluster.harness.submit(1, vec![step]);
    cluster.advance(9_000);
    assert_eq!(cluster.harness.event_count("run_moved"), 0);
}

/// Guards against a task that never ends because it is moved again and again.
#[test]
fn task_is_moved_once() {
    let mut cluster = cluster(8, Stragglers::EveryRunOf(6), STRAGGLER_FACTOR);
    cluster.harness.submit(1, vec![of_estimate(6, DURATION_MS)]);
    cluster.advance(3 * STRAGGLER_FACTOR * DURATION_MS);
    assert!(cluster.done.contains_key(&task(1, 0, 5)));
    assert_eq!(cluster.harness.event_count("run_moved"), 1);
}

/// Guards against a cause that slows many runs and stops them all at once.
#[test]
fn few_runs_are_stopped_at_a_time() {
    let mut cluster = cluster(40, Stragglers::FirstRunOf(4), STRAGGLER_FACTOR);
    for job in 1..=5 {
        cluster
            .harness
            .submit(job, vec![of_estimate(4, DURATION_MS)]);
    }
    let mut moved = 0;
    let mut most = 0;
    for _ in 0..20 {
        cluster.advance(480);
        let now = cluster.harness.event_count("run_moved");
        most = most.max(now - moved);
        moved = now;
    }
    assert_eq!((most, moved), (1, 5));
}

/// Guards against a move that pays only if the work so far is saved, and is made without a checkpoint
/// or left out with one. The straggler takes 22 s instead of 10 s, and workers become free after 10 s.
#[parameterized(
    without_checkpoint = { false, 0 },
    with_checkpoint = { true, 1 },
)]
fn saved_work_counts(is_checkpointing: bool, moved: usize) {
    let records = (0..3).map(|index| worker(&format!("w{index}"), 8));
    let records = records.collect::<Vec<_>>();
    let mut cluster = LoadedCluster::new(&records, |order: &StartOrder| {
        let is_slow = order.task.index == 0 && order.run == 1;
        Outcome::done(if is_slow { 22_000 } else { 10_000 })
    });
    cluster.is_checkpointing = is_checkpointing;
    let step = StepSpec {
        checkpointing: is_checkpointing,
        ..of_estimate(3, 8_000)
    };
    cluster.harness.submit(1, vec![step]);
    cluster.advance(23_000);
    assert_eq!(cluster.harness.event_count("run_moved"), moved);
}

/// Guards against a gang that waits for a slow member, and against one that is stopped although no
/// other workers hold all its members.
#[parameterized(
    capacity_for_all = { 8, 4, 1 },
    capacity_for_some = { 7, 0, 0 },
)]
fn gang_is_moved_as_a_whole(workers: usize, moved_members: usize, events: usize) {
    let mut cluster = cluster(workers, Stragglers::AllFirstRuns, STRAGGLER_FACTOR);
    let gang = StepSpec {
        gang: true,
        ..of_estimate(4, DURATION_MS)
    };
    cluster.harness.submit(1, vec![gang]);
    cluster.advance(4_000);
    let moved = cluster.started.iter().filter(|order| order.run == 2);
    assert_eq!(moved.count(), moved_members);
    assert_eq!(cluster.harness.event_count("run_moved"), events);
}
