//! Jobs that fail everywhere beside sound workers and workers that fail everything.

mod common;

use std::collections::BTreeMap;

use common::{Harness, step, worker};
use tarragon_dispatch::OrderOutcome;
use tarragon_workflow::RunEnd;
use yare::parameterized;

/// Jobs from this number on fail on every worker.
const FIRST_HOPELESS_JOB: u64 = 1_000_000;

/// Workers whose runs end as soon as they have started.
struct Cluster {
    harness: Harness,
    workers: Vec<String>,
    failing_worker: Option<&'static str>,
    /// Workers that fail every second run.
    half_failing: &'static [&'static str],
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
            half_failing: &[],
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
                let number = self.last_end.entry(worker.clone()).or_default();
                *number += 1;
                let is_failing = self.failing_worker == Some(worker.as_str())
                    || (number.is_multiple_of(2) && self.half_failing.contains(&worker.as_str()));
                let end = if is_hopeless || is_failing {
                    RunEnd::Failed
                } else {
                    RunEnd::Done
                };
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

/// Guards against sound workers that stay idle because jobs that fail everywhere have failed there:
/// each such run once paused its worker for one to four seconds.
#[parameterized(
    one_task_each = { 1 },
    several_tasks_each = { 4 },
)]
fn jobs_that_fail_everywhere_pause_no_sound_worker(tasks: u32) {
    let mut cluster = Cluster::new(4, None);
    for _ in 0..12 {
        cluster.submit(true, tasks, 2);
    }
    cluster.advance(3_000);
    for _ in 0..12 {
        cluster.submit(true, tasks, 2);
    }
    cluster.advance(500);
    cluster.started.clear();
    cluster.submit(false, 4, 8);
    cluster.advance(60);
    assert_eq!(cluster.started.len(), 4, "{:?}", cluster.started);
}

/// Guards against a worker that fails everything and goes on to get tasks because jobs that fail
/// everywhere excuse its failures.
#[parameterized(
    sound_jobs_alone = { 0 },
    one_hopeless_job_in_four = { 1 },
    half_of_the_jobs_hopeless = { 2 },
)]
fn worker_that_fails_everything_is_avoided_beside_hopeless_jobs(hopeless: usize) {
    let mut cluster = Cluster::new(4, Some("w1"));
    cluster.submit_every(80, 100, hopeless);
    let failing = cluster.started["w1"];
    let sound = cluster.started.values().sum::<usize>() - failing;
    assert!(
        sound >= 300 && failing * 12 <= sound,
        "{:?}",
        cluster.started
    );
}

/// Guards against many workers that fail part of their runs and are taken for sound because the
/// jobs have failed on several of them.
#[parameterized(
    one_task_each = { 0, 1, 20 },
    one_hopeless_job_in_four = { 1, 1, 20 },
    sixteen_tasks_each = { 0, 16, 4 },
)]
fn workers_that_fail_half_of_their_runs_are_avoided(
    hopeless: usize,
    tasks: u32,
    max_percent: usize,
) {
    let mut cluster = Cluster::new(4, None);
    cluster.half_failing = &["w0", "w1"];
    for _ in 0..100 {
        for kind in 0..4 {
            cluster.submit(kind < hopeless, tasks, if tasks == 1 { 6 } else { 2 });
        }
        cluster.advance(80);
    }
    let failing = cluster.started["w0"] + cluster.started["w1"];
    let sound = cluster.started["w2"] + cluster.started["w3"];
    assert!(
        sound >= 200 && failing * 100 <= sound * max_percent,
        "{:?}",
        cluster.started
    );
}
