//! Bytes a worker, waiting job, running task, and catalogue entry, from the resident set.

use std::fs;

use serde_json::json;
use tarragon_health::HealthTable;
use tarragon_names::{JobId, Millis, Name, Resources, TaskId};
use tarragon_placement::{ExpectedEnds, IndexedPlacer, PolicyWeights};
use tarragon_queue::{JobQueue, QueueConfig};
use tarragon_sizing::{Estimator, Usage};

use super::{
    deployment::Deployment,
    draw::Draw,
    options::Options,
    queue,
    report::{Report, row},
};

const PAGE: u64 = 4_096;

/// Grows one structure after the other and keeps all, so that no page is used twice.
pub(crate) fn run(options: &Options) -> Report {
    let mut report = Report::new(
        options,
        &json!({"source": "/proc/self/statm, resident pages"}),
    );
    let mut draw = Draw::new(options.seed);
    let mut measure = |what: &str, count: u64, before: u64| {
        let bytes = resident().saturating_sub(before);
        report.push(row! {
            "what" => what,
            "count" => count,
            "bytes" => bytes,
            "bytes_each" => bytes as f64 / count as f64,
        });
    };

    let mut kept = Vec::new();
    for workers in [2_800, 10_000, 50_000] {
        let deployment = Deployment::target(workers);
        let infos = deployment.infos().collect::<Vec<_>>();
        let before = resident();
        let placer = IndexedPlacer::new(PolicyWeights::default());
        // Names are built anew: in the product a worker's names are held by its session as well.
        deployment.fill(&placer);
        measure("worker (placement)", workers, before);
        let before = resident();
        let health = HealthTable::default();
        for info in &infos {
            health.add_worker(&info.name);
        }
        measure("worker (health)", workers, before);
        kept.push((placer, health, infos));
    }

    let mut queues = Vec::new();
    for jobs in [10_000, 100_000] {
        let before = resident();
        let queue = JobQueue::new(QueueConfig {
            max_jobs: 1_000_000,
            ..QueueConfig::default()
        });
        for id in 0..jobs {
            queue
                .push(queue::job(id, &mut draw))
                .expect("the queue has room for every job of the run");
        }
        measure("waiting job", jobs, before);
        queues.push(queue);
    }

    let mut horizons = Vec::new();
    for tasks in [65_000, 230_000] {
        let infos = &kept[usize::from(tasks > 65_000)].2;
        let before = resident();
        let horizon = ExpectedEnds::new();
        for n in 0..tasks {
            let worker = &infos[draw.index(infos.len())].name;
            let task = TaskId {
                job: JobId(n),
                index: 0,
            };
            horizon.record(worker, task, Resources::new(1_000, 1_024, 0), Millis(n));
        }
        measure("running task (horizon)", tasks, before);
        horizons.push(horizon);
    }

    let entries = 2_000;
    let before = resident();
    let estimator = Estimator::new();
    let declared = Resources::new(1_000, 4_096, 0);
    for entry in 0..entries {
        let entry = Name::from(format!("entry-{entry}"));
        for _ in 0..100 {
            let peak = Resources::new(500 + draw.below(2_000), 1_024 + draw.below(8_192), 0);
            let run = Some(Millis(1_000 + draw.below(60_000)));
            estimator.report(
                &entry,
                &declared,
                &Usage {
                    peak,
                    run_time: run,
                },
            );
        }
    }
    measure("catalogue entry (sizing)", entries, before);
    drop((kept, queues, horizons, estimator));
    report
}

/// Resident memory of this process in bytes, 0 where it cannot be read.
fn resident() -> u64 {
    let statm = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split(' ').nth(1).and_then(|pages| pages.parse().ok());
    pages.unwrap_or(0_u64) * PAGE
}
