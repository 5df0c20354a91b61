//! Latency of a placement decision against the number of workers.

use std::{
    sync::atomic::{AtomicU64, Ordering},
    thread,
    time::Instant,
};

use serde_json::json;
use tarragon_names::{JobId, Millis, Resources, TaskId, WorkerName, Workload};
use tarragon_placement::{
    ExpectedEnds, FirstFit, IndexedPlacer, PlaceRequest, Placer, PolicyWeights, RandomOfTwo,
};

use super::{
    deployment::Deployment,
    options::Options,
    report::{Report, row},
    seeded_rng::SeededRng,
    timing::Timing,
};

const DEFAULT_DECISIONS: u64 = 20_000;
/// Thousandths of tasks per worker in the target deployment: 65,000 tasks on 2,800 workers.
const MILLITASKS_PER_WORKER: u64 = 65_000 * 1_000 / 2_800;
/// Tasks of an all-or-nothing job.
const GANG_TASKS: u32 = 16;

/// Worker and reservation of each running task.
type RunningTasks = Vec<(WorkerName, Resources)>;

/// Replaces running tasks at the target deployment's ratio of tasks to workers and times each
/// placement.
pub(crate) fn run(options: &Options) -> Report {
    let count = options.count.unwrap_or(DEFAULT_DECISIONS);
    let mut report = Report::new(
        options,
        &json!({
            "mix": "75% batch, 20% service (spread), 5% all-or-nothing of 16 tasks; times in microseconds",
            "tasks_a_worker": MILLITASKS_PER_WORKER as f64 / 1e3,
        }),
    );
    for workers in [50, 500, 2_800, 10_000] {
        for (name, placer) in placers(options.seed) {
            let deployment = Deployment::target(workers);
            deployment.add_workers(&*placer);
            let mut rng = SeededRng::new(options.seed);
            let mut running =
                place_initial_tasks(&*placer, workers * MILLITASKS_PER_WORKER / 1_000, &mut rng);
            let tasks = running.len();
            let [all, gangs] = measure(&*placer, &mut running, count, options, &mut rng);
            let refused = measure_refusals(&*placer, options);
            let totals = placer.totals();
            report.push(row! {
                "workers" => workers,
                "placer" => name,
                "tasks" => tasks,
                "cpu_used" => totals.reserved.cpu_milli as f64 / totals.capacity.cpu_milli as f64,
                "decisions" => all.count(),
                "per_s" => all.per_second(),
                "p50_us" => all.quantile_micros(0.5),
                "p99_us" => all.quantile_micros(0.99),
                "max_us" => all.max_micros(),
                "whole_p50_us" => gangs.quantile_micros(0.5),
                "whole_p99_us" => gangs.quantile_micros(0.99),
                "refused_p50_us" => refused.quantile_micros(0.5),
                "refused_p99_us" => refused.quantile_micros(0.99),
            });
        }
    }
    for workers in [50, 500, 2_800, 10_000] {
        let (tasks, plans) = measure_plans(workers, options);
        report.push(row! {
            "workers" => workers,
            "horizon_tasks" => tasks,
            "plans" => plans.count(),
            "plan_p50_us" => plans.quantile_micros(0.5),
            "plan_p99_us" => plans.quantile_micros(0.99),
        });
    }
    for (name, placer) in placers(options.seed) {
        let deployment = Deployment::target(2_800);
        deployment.add_workers(&*placer);
        let mut rng = SeededRng::new(options.seed);
        let mut running =
            place_initial_tasks(&*placer, 2_800 * MILLITASKS_PER_WORKER / 1_000, &mut rng);
        for threads in [1, 2, 4, 8] {
            let replaced_per_second =
                measure_concurrent(&*placer, &mut running, threads, count, options);
            report.push(row! {
                "workers" => 2_800,
                "placer" => name,
                "threads" => threads,
                "replaced_per_s" => replaced_per_second,
            });
        }
    }
    report
}

/// Replaces tasks from several threads at once and returns the replacements per second. Each is one
/// release and one placement.
fn measure_concurrent(
    placer: &dyn Placer,
    running: &mut RunningTasks,
    threads: usize,
    count: u64,
    options: &Options,
) -> u64 {
    let case_start = Instant::now();
    let replaced = AtomicU64::new(0);
    let chunk = running.len().div_ceil(threads);
    thread::scope(|scope| {
        for (n, chunk) in running.chunks_mut(chunk).enumerate() {
            let replaced = &replaced;
            scope.spawn(move || {
                let mut rng = SeededRng::new(options.seed + n as u64);
                for _ in 0..count {
                    if case_start.elapsed() > options.case_limit {
                        return;
                    }
                    let (worker, task_size) = &mut chunk[rng.index(chunk.len())];
                    placer.release(worker, task_size);
                    let req = PlaceRequest::new(1, *task_size, Workload::Batch);
                    if let Some(new) = placer.place(&req).workers.pop() {
                        *worker = new;
                    } else {
                        // Another thread reserved the capacity first. The task is kept with an
                        // empty reservation.
                        *task_size = Resources::ZERO;
                    }
                    replaced.fetch_add(1, Ordering::Relaxed);
                }
            });
        }
    });
    (replaced.load(Ordering::Relaxed) as f64 / case_start.elapsed().as_secs_f64()) as u64
}

fn placers(seed: u64) -> [(&'static str, Box<dyn Placer>); 5] {
    let indexed = |weights| Box::new(IndexedPlacer::new(weights));
    [
        ("indexed", indexed(PolicyWeights::default())),
        ("indexed_wait", indexed(PolicyWeights::WAITING)),
        ("indexed_pack", indexed(PolicyWeights::PACKING)),
        ("first_fit", Box::new(FirstFit::new())),
        ("random_of_two", Box::new(RandomOfTwo::new(seed))),
    ]
}

/// Random task size; the mean is about 2.4 cores, so that 23 tasks use nine tenths of a worker.
fn task_size(rng: &mut SeededRng) -> Resources {
    let cpu = 500 + rng.below(15) * 250 + if rng.chance(0.05) { 4_000 } else { 0 };
    let memory = 1_024 + rng.below(16) * 1_024;
    let accelerators = u64::from(rng.chance(0.04)) * (1 + rng.below(2));
    Resources::new(cpu, memory, accelerators)
}

fn place_initial_tasks(placer: &dyn Placer, tasks: u64, rng: &mut SeededRng) -> RunningTasks {
    let mut running = RunningTasks::new();
    for _ in 0..tasks {
        let task_size = task_size(rng);
        let placement = placer.place(&PlaceRequest::new(1, task_size, Workload::Batch));
        running.extend(
            placement
                .workers
                .into_iter()
                .map(|worker| (worker, task_size)),
        );
    }
    running
}

fn measure(
    placer: &dyn Placer,
    running: &mut RunningTasks,
    count: u64,
    options: &Options,
    rng: &mut SeededRng,
) -> [Timing; 2] {
    let [mut all, mut gangs] = [Timing::new(), Timing::new()];
    let case_start = Instant::now();
    for n in 0..count {
        if case_start.elapsed() > options.case_limit {
            break;
        }
        let kind = match rng.below(20) {
            0 => Workload::AllOrNothing,
            1..5 => Workload::Service,
            _ => Workload::Batch,
        };
        let tasks = if kind == Workload::AllOrNothing {
            GANG_TASKS
        } else {
            1
        };
        for _ in 0..tasks {
            let (worker, task_size) = running.swap_remove(rng.index(running.len()));
            placer.release(&worker, &task_size);
        }
        let mut req = PlaceRequest::new(tasks, task_size(rng), kind);
        req.resources.accelerators *= u64::from(kind == Workload::Batch);
        if kind == Workload::Service {
            req.running_in = vec![format!("domain-{:02}", n % 14).into()];
        }
        let start = Instant::now();
        let placement = placer.place(&req);
        let time = start.elapsed();
        all.record(time);
        if kind == Workload::AllOrNothing {
            gangs.record(time);
        }
        running.extend(
            placement
                .workers
                .into_iter()
                .map(|worker| (worker, req.resources)),
        );
    }
    [all, gangs]
}

/// Times decisions on a task that fits on no worker.
fn measure_refusals(placer: &dyn Placer, options: &Options) -> Timing {
    // Just above the largest free capacity, so that the index cannot exclude every worker by its
    // bucket.
    let largest_free = placer.largest_free();
    let task_size = Resources::new(largest_free.cpu_milli + 1, 1_024, 0);
    let req = PlaceRequest::new(1, task_size, Workload::Batch);
    let mut timing = Timing::new();
    let case_start = Instant::now();
    while timing.count() < 2_000 && case_start.elapsed() < options.case_limit {
        let start = Instant::now();
        let placement = placer.place(&req);
        timing.record(start.elapsed());
        assert!(
            placement.is_empty(),
            "a task larger than the largest free capacity must not be placed"
        );
    }
    timing
}

/// Times the planning of a reservation for a job whose tasks each need nearly a whole worker, on a
/// quarter of the workers.
fn measure_plans(workers: u64, options: &Options) -> (usize, Timing) {
    let placer = IndexedPlacer::new(PolicyWeights::default());
    Deployment::target(workers).add_workers(&placer);
    let mut rng = SeededRng::new(options.seed);
    let running = place_initial_tasks(&placer, workers * MILLITASKS_PER_WORKER / 1_000, &mut rng);
    let expected_ends = ExpectedEnds::new();
    for (n, (worker, task_size)) in running.iter().enumerate() {
        let task = TaskId {
            job: JobId(n as u64),
            index: 0,
        };
        expected_ends.record(
            worker,
            task,
            *task_size,
            Millis(1_000 + rng.below(3_600_000)),
        );
    }
    let tasks = (workers / 4) as u32;
    let req = PlaceRequest::new(
        tasks,
        Resources::new(60_000, 200_000, 0),
        Workload::AllOrNothing,
    );
    let mut plans = Timing::new();
    let case_start = Instant::now();
    while plans.count() < 50 && case_start.elapsed() < options.case_limit {
        let start = Instant::now();
        let plan = expected_ends.plan_reservation(Millis(0), JobId(0), &req, &placer);
        plans.record(start.elapsed());
        assert!(
            plan.is_some(),
            "a reservation must exist, as every running task has an expected end"
        );
    }
    (running.len(), plans)
}
