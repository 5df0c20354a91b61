//! Workers that run what they are ordered to, for replays of load.

#![allow(dead_code, reason = "each test file uses a part of it")]

use std::collections::BTreeMap;

use tarragon_dispatch::{OrderOutcome, RunStatus, StartOrder};
use tarragon_names::Name;
use tarragon_workflow::{RunEnd, TaskKey, WorkerRecord};

use crate::common::Harness;

/// Time between two steps of the simulation, in milliseconds.
const TICK_MS: u64 = 20;

/// Time between two answers to polls while no run ends, in milliseconds.
const REPORT_INTERVAL_MS: u64 = 200;

/// What becomes of a run.
#[derive(Clone, Copy, Debug)]
pub struct Outcome {
    pub duration_ms: u64,
    pub end: RunEnd,
}

impl Outcome {
    pub fn done(duration_ms: u64) -> Self {
        let end = RunEnd::Done;
        Self { duration_ms, end }
    }

    pub fn failed(duration_ms: u64) -> Self {
        let end = RunEnd::Failed;
        Self { duration_ms, end }
    }
}

#[derive(Clone, Debug)]
struct Running {
    run: u32,
    started_at: u64,
    outcome: Outcome,
    is_stopped: bool,
    /// Share of the work that was done at the start, in percent.
    resumed_percent: u64,
}

impl Running {
    fn percent(&self, now: u64) -> u64 {
        let done = (now - self.started_at) * (100 - self.resumed_percent);
        (self.resumed_percent + done / self.outcome.duration_ms.max(1)).min(100)
    }
}

#[derive(Default)]
struct ModelWorker {
    running: BTreeMap<TaskKey, Running>,
    last_end: u64,
    answered_at: u64,
}

/// A leader with workers whose runs end as `outcome` tells.
pub struct LoadedCluster<F> {
    pub harness: Harness,
    /// Start orders that were carried out.
    pub started: Vec<StartOrder>,
    /// Time at which each run was ordered to start, in the order of `started`.
    pub started_at: Vec<u64>,
    /// Tasks that are done, with the times of their ends.
    pub done: BTreeMap<TaskKey, u64>,
    outcome: F,
    workers: BTreeMap<String, ModelWorker>,
}

impl<F> LoadedCluster<F>
where
    F: FnMut(&StartOrder) -> Outcome,
{
    pub fn new(workers: &[WorkerRecord], outcome: F) -> Self {
        let names = workers.iter().map(|record| {
            let name = record.incarnation.worker.to_string();
            (name, ModelWorker::default())
        });
        Self {
            harness: Harness::new(workers),
            started: Vec::new(),
            started_at: Vec::new(),
            done: BTreeMap::new(),
            outcome,
            workers: names.collect(),
        }
    }

    /// Number of runs that were started on a worker.
    pub fn started_on(&self, worker: &str) -> usize {
        let on = |order: &&StartOrder| order.incarnation.worker.as_str() == worker;
        self.started.iter().filter(on).count()
    }

    /// Workers on which runs of a job were started, in the order of their starts.
    pub fn workers_of_job(&self, job: u64) -> Vec<String> {
        let of_job = self
            .started
            .iter()
            .filter(|order| order.task.step.job.0 == job);
        of_job
            .map(|order| order.incarnation.worker.to_string())
            .collect()
    }

    /// Lets time pass while the runs go on.
    pub fn advance(&mut self, millis: u64) {
        let end = self.harness.now + millis;
        while self.harness.now < end {
            self.carry_out_orders();
            self.harness.advance(TICK_MS);
            self.carry_out_orders();
            self.answer_polls();
        }
    }

    fn carry_out_orders(&mut self) {
        let now = self.harness.now;
        for order in self.harness.answer_starts(OrderOutcome::Accepted) {
            let outcome = (self.outcome)(&order);
            let resumed_percent = order.checkpoint.as_ref().and_then(percent_of);
            let resumed_percent = resumed_percent.unwrap_or(0);
            let left = 100 - resumed_percent;
            let running = Running {
                run: order.run,
                started_at: now,
                outcome: Outcome {
                    duration_ms: outcome.duration_ms * left / 100,
                    ..outcome
                },
                is_stopped: false,
                resumed_percent,
            };
            let worker = order.incarnation.worker.as_str();
            let worker = self.workers.get_mut(worker).expect("a known worker");
            worker.running.insert(order.task, running);
            self.started.push(order);
            self.started_at.push(now);
        }
        for order in self.harness.answer_stops(OrderOutcome::Accepted) {
            let worker = order.incarnation.worker.as_str();
            let worker = self.workers.get_mut(worker).expect("a known worker");
            if let Some(running) = worker.running.get_mut(&order.task)
                && running.run == order.run
            {
                running.is_stopped = true;
            }
        }
    }

    fn answer_polls(&mut self) {
        let now = self.harness.now;
        let mut answers = Vec::new();
        for (name, worker) in &mut self.workers {
            let mut polls = self.harness.polls.iter();
            if !polls.any(|call| call.incarnation.worker.as_str() == name) {
                continue;
            }
            let is_over = |running: &Running| {
                running.is_stopped || now >= running.started_at + running.outcome.duration_ms
            };
            let ended = worker.running.extract_if(.., |_, running| is_over(running));
            let mut ends = Vec::new();
            for (task, running) in ended {
                worker.last_end += 1;
                let end = if running.is_stopped {
                    RunEnd::Stopped
                } else {
                    running.outcome.end
                };
                ends.push((worker.last_end, task, running.run, end));
                if end == RunEnd::Done {
                    self.done.entry(task).or_insert(now);
                }
            }
            if ends.is_empty() && now < worker.answered_at + REPORT_INTERVAL_MS {
                continue;
            }
            worker.answered_at = now;
            let running = worker.running.iter().map(|(task, running)| RunStatus {
                task: *task,
                run: running.run,
                checkpoint: Some(Name::from(format!("at {}", running.percent(now)))),
                percent: running.percent(now),
                usage_or_tail_ms: None,
            });
            answers.push((name.clone(), running.collect::<Vec<_>>(), ends));
        }
        for (name, running, ends) in answers {
            self.harness.answer_poll_with(&name, running, &ends);
        }
    }
}

/// Share of the work that a checkpoint of these workers holds, in percent.
fn percent_of(checkpoint: &Name) -> Option<u64> {
    checkpoint.as_str().strip_prefix("at ")?.parse::<u64>().ok()
}
