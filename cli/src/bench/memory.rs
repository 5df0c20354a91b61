//! Bytes per worker, waiting job, running task and catalogue entry, from the resident set size.

use std::fs;

use serde_json::json;
use tarragon_health::HealthTable;
use tarragon_names::{JobId, Millis, Name, Resources, TaskId};
use tarragon_placement::{ExpectedEnds, IndexedPlacer, PolicyWeights};
use tarragon_queue::{JobQueue, QueueConfig};
use tarragon_sizing::{Estimator, Usage};

use super::{
    deployment::Deployment,
    options::Options,
    queue,
    report::{Report, row},
    seeded_rng::SeededRng,
};

const PAGE_BYTES: u64 = 4_096;

/// Builds the data structures one after the other and keeps them all: memory that a later structure
/// reuses would not show as growth of the resident set.
pub(crate) fn run(options: &Options) -> Report {
    let mut report = Report::new(
        options,
        &json!({"source": "/proc/self/statm, resident pages"}),
    );
    let mut rng = SeededRng::new(options.seed);
    let mut measure = |what: &str, count: u64, before: u64| {
        let bytes = resident_bytes().saturating_sub(before);
        report.push(row! {
            "what" => what,
            "count" => count,
            "bytes" => bytes,
            "bytes_each" => bytes as f64 / count as f64,
        });
    };

    let mut kept_workers = Vec::new();
    for workers in [2_800, 10_000, 50_000] {
        let deployment = Deployment::target(workers);
        let worker_infos = deployment.worker_infos().collect::<Vec<_>>();
        let before = resident_bytes();
        let placer = IndexedPlacer::new(PolicyWeights::default());
        // The names are new strings, not shared with `worker_infos`: in the product, the worker's
        // session holds names of its own as well.
        deployment.add_workers(&placer);
        measure("worker (placement)", workers, before);
        let before = resident_bytes();
        let health = HealthTable::default();
        for info in &worker_infos {
            health.add_worker(&info.name);
        }
        measure("worker (health)", workers, before);
        kept_workers.push((placer, health, worker_infos));
    }

    let mut kept_queues = Vec::new();
    for jobs in [10_000, 100_000] {
        let before = resident_bytes();
        let queue = JobQueue::new(QueueConfig {
            max_jobs: 1_000_000,
            ..QueueConfig::default()
        });
        for id in 0..jobs {
            queue
                .push(queue::job(id, &mut rng))
                .expect("max_jobs exceeds the number of jobs of a case");
        }
        measure("waiting job", jobs, before);
        kept_queues.push(queue);
    }

    let mut kept_expected_ends = Vec::new();
    for tasks in [65_000, 230_000] {
        let worker_infos = &kept_workers[usize::from(tasks > 65_000)].2;
        let before = resident_bytes();
        let expected_ends = ExpectedEnds::new();
        for n in 0..tasks {
            let worker = &worker_infos[rng.index(worker_infos.len())].name;
            let task = TaskId {
                job: JobId(n),
                index: 0,
            };
            expected_ends.record(worker, task, Resources::new(1_000, 1_024, 0), Millis(n));
        }
        measure("running task (horizon)", tasks, before);
        kept_expected_ends.push(expected_ends);
    }

    let entries = 2_000;
    let before = resident_bytes();
    let estimator = Estimator::new();
    let declared = Resources::new(1_000, 4_096, 0);
    for entry in 0..entries {
        let entry = Name::from(format!("entry-{entry}"));
        for _ in 0..100 {
            let peak = Resources::new(500 + rng.below(2_000), 1_024 + rng.below(8_192), 0);
            let run = Some(Millis(1_000 + rng.below(60_000)));
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
    drop((kept_workers, kept_queues, kept_expected_ends, estimator));
    report
}

/// Resident memory of this process; 0 if `/proc/self/statm` cannot be read.
fn resident_bytes() -> u64 {
    let statm = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split(' ').nth(1).and_then(|pages| pages.parse().ok());
    pages.unwrap_or(0_u64) * PAGE_BYTES
}
