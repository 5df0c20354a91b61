//! Tasks of wide steps that run again.

mod common;
mod loaded_cluster;

use common::{LOW_QUEUE, QUEUE, step, task, worker};
use loaded_cluster::{LoadedCluster, Outcome};
use tarragon_dispatch::StartOrder;
use tarragon_names::{Millis, Name};
use tarragon_workflow::{StepSpec, TaskKey, WorkerRecord};
use yare::parameterized;

/// Job whose last task fails in its first run.
const WIDE: u64 = 1;

/// The first of the jobs beside it.
const FIRST_OTHER: u64 = 100;

/// Job whose only task fails in its first run.
const FAILING: u64 = 10_000;

fn workers(count: usize) -> Vec<WorkerRecord> {
    let records = (0..count).map(|index| {
        let mut record = worker(&format!("w{index}"), 8);
        record.labels.push(Name::from(format!("w{index}")));
        record
    });
    records.collect()
}

fn cluster(
    count: usize,
    failing: TaskKey,
    fails_after_ms: u64,
) -> LoadedCluster<impl FnMut(&StartOrder) -> Outcome> {
    LoadedCluster::new(&workers(count), move |order: &StartOrder| {
        let job = order.task.step.job.0;
        let is_ordinary = job < FAILING && job.is_multiple_of(20);
        let is_failing = order.task == failing || job == FAILING || is_ordinary;
        let duration_ms = if job == WIDE { 2_000 } else { 300 };
        if is_failing && order.run == 1 {
            Outcome::failed(if order.task == failing {
                fails_after_ms
            } else {
                duration_ms
            })
        } else {
            Outcome::done(duration_ms)
        }
    })
}

/// Replays a wide step that loses a task when it can hardly end in time any more, beside steps of the
/// same queue that can. Guards against the work of all its other tasks that waits for one, and against
/// a retry that takes the capacity from a more urgent queue.
#[parameterized(
    same_queue = { QUEUE, true },
    less_urgent_queue = { LOW_QUEUE, false },
)]
fn failed_task_of_a_wide_step_goes_before_others(queue: &str, is_first: bool) {
    let failing = task(WIDE, 0, 3);
    let mut cluster = cluster(4, failing, 2_000);
    cluster.harness.submit_to(queue, WIDE, vec![step(8, 8)]);
    cluster.advance(1_500);
    for job in FIRST_OTHER..FIRST_OTHER + 20 {
        cluster.harness.submit(job, vec![step(1, 8)]);
    }
    let before = cluster.started.len();
    cluster.advance(800);
    let order = cluster.started[before..].iter();
    let order = order
        .map(|order| (order.task, order.run))
        .collect::<Vec<_>>();
    assert_eq!(order[..4].contains(&(failing, 2)), is_first, "{order:?}");
    // Its tasks that have not run yet go after the others.
    let not_run = order
        .iter()
        .filter(|(task, run)| task.step.job.0 == WIDE && *run == 1);
    assert_eq!(not_run.count(), 0, "{order:?}");
}

/// Guards against a retry on a worker that has just failed another run, while a quarter of a wide step
/// has failed already.
#[test]
fn failed_task_of_a_wide_step_goes_to_a_sure_worker() {
    let mut cluster = cluster(4, task(WIDE, 0, 1), 500);
    // One run in twenty fails, so that a failure pauses no worker. The last ones succeed.
    for job in FIRST_OTHER..FIRST_OTHER + 130 {
        cluster.harness.submit(job, vec![step(1, 8)]);
        cluster.advance(100);
    }
    cluster.advance(5_000);
    for round in 0..8 {
        for index in 0..4 {
            let job = FAILING + 1 + round * 4 + index;
            let pinned = StepSpec {
                label: Some(Name::from(format!("w{index}"))),
                ..step(1, 8)
            };
            cluster.harness.submit(job, vec![pinned]);
        }
        cluster.advance(500);
    }
    let pinned = StepSpec {
        label: Some(Name::from("w2")),
        ..step(1, 8)
    };
    cluster.harness.submit(FAILING, vec![pinned]);
    cluster.advance(3_000);
    assert_eq!(
        cluster.workers_of_job(FAILING),
        ["w2", "w2"],
        "a failed run pauses no worker"
    );
    let wide = StepSpec {
        estimate: Millis(1_000),
        ..step(2, 8)
    };
    cluster.harness.submit(WIDE, vec![wide]);
    cluster.advance(1_000);
    assert_eq!(cluster.workers_of_job(WIDE), ["w0", "w1", "w3"]);
}
