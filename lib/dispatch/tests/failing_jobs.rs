//! Jobs that fail everywhere beside sound workers and workers that fail everything.

mod common;

use std::collections::BTreeMap;

use common::{Harness, step, worker};
use tarragon_dispatch::OrderOutcome;
use tarragon_workflow::RunEnd;

/// Jobs from this number on fail on every worker.
const FIRST_HOPELESS_JOB: u64 = 1_000_000;

/// Workers whose runs end as soon as they have started.
struct Cluster {
    harness: Harness,
    workers: Vec<String>,
    failing_worker: Option<&'static str>,
    last_end: BTreeMap<String, u64>,
    /// Number of runs that were started, by worker.
    started: BTreeMap<String, usize>,
    next_job: u64,
}

impl Cluster {
    fn new(workers: usize, failing_worker: Option<&'static str>) -> Self {
        let workers = (0..workers).map(|i| format!("w{i}")).collect::<Vec<_>>();
        let records = workers.iter().map(|name| worker(name, 8));
        Self {
            harness: Harness::new(&records.collect::<Vec<_>>()),
            workers,
            failing_worker,
            last_end: BTreeMap::new(),
            started: BTreeMap::new(),
            next_job: 0,
        }
    }

    fn submit(&mut self, is_hopeless: bool, tasks: u32, cores: u64) {
        self.next_job += 1;
        let first = if is_hopeless { FIRST_HOPELESS_JOB } else { 0 };
        let job = first + self.next_job;
        self.harness.submit(job, vec![step(tasks, cores)]);
    }

    /// Submits four jobs that need most of a worker each, `hopeless` of them failing everywhere,
    /// every `interval` milliseconds.
    fn submit_every(&mut self, interval: u64, rounds: usize, hopeless: usize) {
        for _ in 0..rounds {
            for kind in 0..4 {
                self.submit(kind < hopeless, 1, 6);
            }
            self.advance(interval);
        }
    }

    fn has_event(&self, name: &str, worker: &str) -> bool {
        let mut events = self.harness.events.iter();
        events.any(|event| {
            let of_worker = event.worker.as_ref();
            event.name == name && of_worker.is_some_and(|other| other.as_str() == worker)
        })
    }

    /// Lets time pass; every run that starts ends at once.
    fn advance(&mut self, millis: u64) {
        let end = self.harness.now + millis;
        while self.harness.now < end {
            self.harness.advance(20);
            let mut ends = BTreeMap::<String, Vec<_>>::new();
            for order in self.harness.answer_starts(OrderOutcome::Accepted) {
                let worker = order.incarnation.worker.to_string();
                let is_hopeless = order.task.step.job.0 >= FIRST_HOPELESS_JOB;
                let is_failing = self.failing_worker == Some(worker.as_str());
                let end = if is_hopeless || is_failing {
                    RunEnd::Failed
                } else {
                    RunEnd::Done
                };
                let number = self.last_end.entry(worker.clone()).or_default();
                *number += 1;
                *self.started.entry(worker.clone()).or_default() += 1;
                ends.entry(worker)
                    .or_default()
                    .push((*number, order.task, order.run, end));
            }
            for worker in &self.workers {
                let ends = ends.remove(worker).unwrap_or_default();
                self.harness.answer_poll(worker, &[], &ends);
            }
        }
    }
}

/// Guards against a quarantine that never ends: its place under the limit stayed taken, so no worker
/// that failed later was set aside.
#[test]
fn repaired_worker_is_restored_and_another_one_set_aside() {
    let mut cluster = Cluster::new(4, Some("w1"));
    cluster.submit_every(80, 100, 0);
    assert!(cluster.has_event("worker_set_aside", "w1"));
    assert!(!cluster.has_event("worker_restored", "w1"));
    cluster.failing_worker = None;
    cluster.submit_every(80, 250, 0);
    assert!(cluster.has_event("worker_restored", "w1"));
    cluster.failing_worker = Some("w2");
    cluster.submit_every(80, 100, 0);
    assert!(cluster.has_event("worker_set_aside", "w2"));
}
