//! Pauses of workers while a few percent of all runs fail everywhere.

mod common;
mod loaded_cluster;

use common::{Harness, step, worker};
use loaded_cluster::{LoadedCluster, Outcome};
use rand_chacha::{
    ChaCha12Rng,
    rand_core::{Rng, SeedableRng},
};
use tarragon_dispatch::StartOrder;
use yare::parameterized;

const WORKERS: usize = 20;

/// Duration of a run, in milliseconds.
const DURATION_MS: u64 = 200;

/// Rate at which the runs fail on all workers, in percent; from `failing_from` on, all runs on `w3`
/// fail.
fn cluster(
    percent: u32,
    failing_from: u64,
    seed: u64,
) -> LoadedCluster<impl FnMut(&StartOrder) -> Outcome> {
    let mut draw = ChaCha12Rng::seed_from_u64(seed);
    let records = (0..WORKERS).map(|index| worker(&format!("w{index}"), 8));
    LoadedCluster::new(&records.collect::<Vec<_>>(), move |order: &StartOrder| {
        let is_bad =
            order.task.step.job.0 >= failing_from && order.incarnation.worker.as_str() == "w3";
        if is_bad || draw.next_u32() % 100 < percent {
            Outcome::failed(DURATION_MS)
        } else {
            Outcome::done(DURATION_MS)
        }
    })
}

/// Submits a job of a task for a whole worker for each worker, `rounds` times, and returns the number
/// of the next job and how many of the last tasks of each round had to wait for a worker.
fn play<F>(cluster: &mut LoadedCluster<F>, first_job: u64, rounds: u64) -> (u64, Vec<usize>)
where
    F: FnMut(&StartOrder) -> Outcome,
{
    let mut waiting = Vec::new();
    let mut job = first_job;
    for _ in 0..rounds {
        let before = cluster.started.len();
        for _ in 0..WORKERS {
            cluster.harness.submit(job, vec![step(1, 8)]);
            job += 1;
        }
        cluster.advance(20);
        waiting.push(WORKERS.saturating_sub(cluster.started.len() - before));
        cluster.advance(2 * DURATION_MS);
    }
    (job, waiting)
}

/// Replays a calm day on which a few percent of all runs fail on any worker. Guards against a pause
/// after each of them, which keeps a tenth of the workers idle.
#[parameterized(
    two_percent = { 2 },
    three_percent = { 3 },
    five_percent = { 5 },
)]
fn ordinary_failures_pause_hardly_any_worker(percent: u32) {
    let mut cluster = cluster(percent, u64::MAX, 1);
    let (job, _) = play(&mut cluster, 1, 40);
    let (_, waiting) = play(&mut cluster, job, 100);
    // Without the rule, a failed run pauses its worker for 1 s, which is two rounds, and the retry of
    // its task pauses it again. The tasks that are tried again take workers too.
    let waiting = waiting.iter().sum::<usize>();
    let failures = 100 * WORKERS * percent as usize / 100;
    assert!(
        waiting * 2 < failures,
        "{waiting} tasks waited for {failures} failed runs"
    );
}

/// Guards against a worker that fails everything and hides behind the failures of all others.
#[parameterized(
    none_elsewhere = { 0 },
    two_percent = { 2 },
    five_percent = { 5 },
)]
fn worker_that_fails_everything_is_found_beside_ordinary_failures(percent: u32) {
    let rounds = 60;
    let mut cluster = cluster(percent, rounds * WORKERS as u64 + 1, 2);
    let (job, _) = play(&mut cluster, 1, rounds);
    let before = cluster.started_on("w3");
    let begun = cluster.harness.now;
    play(&mut cluster, job, 24);
    // The third failed run sets it aside for 3 s at least, and each probe after that for longer.
    let on_bad = cluster.started_on("w3") - before;
    let passed = cluster.harness.now - begun;
    assert!(on_bad <= 6, "{on_bad} runs within {passed} ms");
}

/// Guards against a new leader that takes the failures of a bad worker for ordinary ones.
#[test]
fn worker_that_fails_everything_is_found_by_a_new_leader() {
    let mut cluster = cluster(0, 0, 3);
    play(&mut cluster, 1, 4);
    assert!(cluster.started_on("w3") <= 2, "{:?}", cluster.started.len());
    let harness: &Harness = &cluster.harness;
    assert_eq!(harness.lost_runs(), 0);
}
