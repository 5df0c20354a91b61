//! Time of a placement decision against the number of workers.

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
    draw::Draw,
    options::Options,
    report::{Report, row},
    timing::Timing,
};

const DECISIONS: u64 = 20_000;
/// Tasks of the target over its workers, in thousandths.
const TASKS_A_WORKER: u64 = 65_000 * 1_000 / 2_800;
const GANG: u32 = 16;

type Held = Vec<(WorkerName, Resources)>;

/// Replaces running tasks at the target's ratio of tasks to workers and times each placement.
pub(crate) fn run(options: &Options) -> Report {
    let count = options.count.unwrap_or(DECISIONS);
    let mut report = Report::new(
        options,
        &json!({
            "mix": "75% batch, 20% service (spread), 5% all-or-nothing of 16 tasks; times in microseconds",
            "tasks_a_worker": TASKS_A_WORKER as f64 / 1e3,
        }),
    );
    for workers in [50, 500, 2_800, 10_000] {
        for (name, placer) in placers(options.seed) {
            let deployment = Deployment::target(workers);
            deployment.fill(&*placer);
            let mut draw = Draw::new(options.seed);
            let mut held = preload(&*placer, workers * TASKS_A_WORKER / 1_000, &mut draw);
            let tasks = held.len();
            let [all, gangs] = measure(&*placer, &mut held, count, options, &mut draw);
            let refused = measure_refusals(&*placer, options);
            let totals = placer.totals();
            report.push(row! {
                "workers" => workers,
                "placer" => name,
                "tasks" => tasks,
                "cpu_used" => totals.reserved.cpu_milli as f64 / totals.capacity.cpu_milli as f64,
                "decisions" => all.count(),
                "per_s" => all.per_second(),
                "p50_us" => all.micros(0.5),
                "p99_us" => all.micros(0.99),
                "max_us" => all.max_micros(),
                "whole_p50_us" => gangs.micros(0.5),
                "whole_p99_us" => gangs.micros(0.99),
                "refused_p50_us" => refused.micros(0.5),
                "refused_p99_us" => refused.micros(0.99),
            });
        }
    }
    for workers in [50, 500, 2_800, 10_000] {
        let (tasks, plans) = time_plans(workers, options);
        report.push(row! {
            "workers" => workers,
            "horizon_tasks" => tasks,
            "plans" => plans.count(),
            "plan_p50_us" => plans.micros(0.5),
            "plan_p99_us" => plans.micros(0.99),
        });
    }
    for (name, placer) in placers(options.seed) {
        let deployment = Deployment::target(2_800);
        deployment.fill(&*placer);
        let mut draw = Draw::new(options.seed);
        let mut held = preload(&*placer, 2_800 * TASKS_A_WORKER / 1_000, &mut draw);
        for threads in [1, 2, 4, 8] {
            let rate = measure_threads(&*placer, &mut held, threads, count, options);
            report.push(row! {
                "workers" => 2_800,
                "placer" => name,
                "threads" => threads,
                "replaced_per_s" => rate,
            });
        }
    }
    report
}

/// Replaces tasks from several threads at once and returns releases with placements a second.
fn measure_threads(
    placer: &dyn Placer,
    held: &mut Held,
    threads: usize,
    count: u64,
    options: &Options,
) -> u64 {
    let begun = Instant::now();
    let done = AtomicU64::new(0);
    let part = held.len().div_ceil(threads);
    thread::scope(|scope| {
        for (n, part) in held.chunks_mut(part).enumerate() {
            let done = &done;
            scope.spawn(move || {
                let mut draw = Draw::new(options.seed + n as u64);
                for _ in 0..count {
                    if begun.elapsed() > options.limit {
                        return;
                    }
                    let (worker, size) = &mut part[draw.index(part.len())];
                    placer.release(worker, size);
                    let req = PlaceRequest::new(1, *size, Workload::Batch);
                    if let Some(new) = placer.place(&req).workers.pop() {
                        *worker = new;
                    } else {
                        // Another thread took the room; nothing is held until the next turn.
                        *size = Resources::ZERO;
                    }
                    done.fetch_add(1, Ordering::Relaxed);
                }
            });
        }
    });
    (done.load(Ordering::Relaxed) as f64 / begun.elapsed().as_secs_f64()) as u64
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

/// A task size; the mean is about 2.4 cores, so 23 tasks use nine tenths of a worker.
fn size(draw: &mut Draw) -> Resources {
    let cpu = 500 + draw.below(15) * 250 + if draw.chance(0.05) { 4_000 } else { 0 };
    let memory = 1_024 + draw.below(16) * 1_024;
    let accelerators = u64::from(draw.chance(0.04)) * (1 + draw.below(2));
    Resources::new(cpu, memory, accelerators)
}

fn preload(placer: &dyn Placer, tasks: u64, draw: &mut Draw) -> Held {
    let mut held = Held::new();
    for _ in 0..tasks {
        let size = size(draw);
        let placement = placer.place(&PlaceRequest::new(1, size, Workload::Batch));
        held.extend(placement.workers.into_iter().map(|worker| (worker, size)));
    }
    held
}

fn measure(
    placer: &dyn Placer,
    held: &mut Held,
    count: u64,
    options: &Options,
    draw: &mut Draw,
) -> [Timing; 2] {
    let [mut all, mut gangs] = [Timing::new(), Timing::new()];
    let begun = Instant::now();
    for n in 0..count {
        if begun.elapsed() > options.limit {
            break;
        }
        let kind = match draw.below(20) {
            0 => Workload::AllOrNothing,
            1..5 => Workload::Service,
            _ => Workload::Batch,
        };
        let tasks = if kind == Workload::AllOrNothing {
            GANG
        } else {
            1
        };
        for _ in 0..tasks {
            let (worker, size) = held.swap_remove(draw.index(held.len()));
            placer.release(&worker, &size);
        }
        let mut req = PlaceRequest::new(tasks, size(draw), kind);
        req.resources.accelerators *= u64::from(kind == Workload::Batch);
        if kind == Workload::Service {
            req.running_in = vec![format!("domain-{:02}", n % 14).into()];
        }
        let start = Instant::now();
        let placement = placer.place(&req);
        let time = start.elapsed();
        all.add(time);
        if kind == Workload::AllOrNothing {
            gangs.add(time);
        }
        held.extend(
            placement
                .workers
                .into_iter()
                .map(|worker| (worker, req.resources)),
        );
    }
    [all, gangs]
}

/// Times decisions on a task for which no worker has room.
fn measure_refusals(placer: &dyn Placer, options: &Options) -> Timing {
    // Just above what is free, so that the index cannot rule every worker out by its bucket.
    let most = placer.largest_free();
    let size = Resources::new(most.cpu_milli + 1, 1_024, 0);
    let req = PlaceRequest::new(1, size, Workload::Batch);
    let mut timing = Timing::new();
    let begun = Instant::now();
    while timing.count() < 2_000 && begun.elapsed() < options.limit {
        let start = Instant::now();
        let placement = placer.place(&req);
        timing.add(start.elapsed());
        assert!(placement.is_empty(), "no worker has that much room");
    }
    timing
}

/// Times the plan of a reservation for a job that needs a quarter of the workers whole.
fn time_plans(workers: u64, options: &Options) -> (usize, Timing) {
    let placer = IndexedPlacer::new(PolicyWeights::default());
    Deployment::target(workers).fill(&placer);
    let mut draw = Draw::new(options.seed);
    let held = preload(&placer, workers * TASKS_A_WORKER / 1_000, &mut draw);
    let horizon = ExpectedEnds::new();
    for (n, (worker, size)) in held.iter().enumerate() {
        let task = TaskId {
            job: JobId(n as u64),
            index: 0,
        };
        horizon.record(worker, task, *size, Millis(1_000 + draw.below(3_600_000)));
    }
    let tasks = (workers / 4) as u32;
    let req = PlaceRequest::new(
        tasks,
        Resources::new(60_000, 200_000, 0),
        Workload::AllOrNothing,
    );
    let mut plans = Timing::new();
    let begun = Instant::now();
    while plans.count() < 50 && begun.elapsed() < options.limit {
        let start = Instant::now();
        let plan = horizon.plan_reservation(Millis(0), JobId(0), &req, &placer);
        plans.add(start.elapsed());
        assert!(plan.is_some(), "every task ends, so the job fits at last");
    }
    (held.len(), plans)
}
