use std::{
    cmp::Reverse,
    collections::{BinaryHeap, HashMap, HashSet, VecDeque},
};

use tarragon_health::{HealthDecision, HealthTable};
use tarragon_names::{JobId, Millis, WorkerName};

use super::seeded_rng::SeededRng;

pub(crate) const WORKERS: usize = 500;
pub(crate) const SLOTS: usize = 4;
/// Share of the slots that is kept busy.
pub(crate) const BUSY_SHARE: f64 = 0.9;
pub(crate) const MEAN_RUN_MS: f64 = 60_000.0;
/// Virtual time at which the simulation ends.
pub(crate) const END_AT: Millis = Millis(3_600_000);
pub(crate) const BROKEN_FROM: Millis = Millis(300_000);
pub(crate) const REPAIRED_AT: Millis = Millis(2_400_000);
/// A job that fails this often is given up even if the rule has not failed it.
const MAX_ATTEMPTS: u32 = 8;
/// Probability that a task of a good job fails quickly on a good worker.
pub(crate) const QUICK_FAILURE_PROBABILITY: f64 = 0.005;

/// Rule that quarantines workers after failures.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Rule {
    /// The health table.
    Table,
    /// Ten minutes of quarantine after three consecutive quick failures on a worker, of any job.
    InARow,
    /// No quarantine.
    None,
}

/// Discrete-event simulation of the health table with a virtual clock.
pub(crate) struct HealthSimulation {
    rule: Rule,
    health_table: HealthTable,
    rng: SeededRng,
    /// Workers with an index below this are broken from [`BROKEN_FROM`] to [`REPAIRED_AT`].
    bad_workers: usize,
    /// Probability that a new job is bad: all its tasks fail quickly on any worker.
    bad_job_probability: f64,
    worker_names: Vec<WorkerName>,
    worker_indices: HashMap<WorkerName, usize>,
    now: Millis,
    /// Index of the worker of each free slot.
    free_slots: Vec<usize>,
    quarantined: HashSet<usize>,
    consecutive_failures: Vec<u32>,
    /// End of each quarantine under [`Rule::InARow`].
    scheduled_restores: VecDeque<(Millis, usize)>,
    pending_jobs: VecDeque<Job>,
    ends: BinaryHeap<Reverse<ScheduledEnd>>,
    last_job_id: u64,
    busy_slots: usize,
    /// First quarantine of each worker while it was broken.
    pub(crate) detected_at: HashMap<usize, Millis>,
    /// Failed tasks of good jobs, on good or bad workers.
    pub(crate) lost_tasks: u64,
    /// Quarantines of workers that were not broken.
    pub(crate) false_quarantines: u64,
    pub(crate) bad_jobs_seen: u64,
    /// Bad jobs that the health table ended as failed.
    pub(crate) bad_jobs_failed: u64,
    pub(crate) bad_job_attempts: u64,
    pub(crate) good_jobs_failed: u64,
    /// Good jobs given up after [`MAX_ATTEMPTS`].
    pub(crate) good_jobs_given_up: u64,
    /// Maximum number of workers quarantined at the same time.
    pub(crate) max_quarantined: usize,
    pub(crate) restored_after_repair: u64,
    pub(crate) succeeded_tasks: u64,
}

/// Time of an end, random tie-break between ends at the same time, worker, job and outcome.
type ScheduledEnd = (Millis, u64, usize, Job, Outcome);

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Job {
    id: JobId,
    is_bad: bool,
    attempts: u32,
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Outcome {
    Success,
    QuickFailure,
}

impl HealthSimulation {
    pub(crate) fn new(rule: Rule, bad_workers: usize, bad_job_probability: f64, seed: u64) -> Self {
        let worker_names = (0..WORKERS)
            .map(|n| WorkerName::from(format!("worker-{n}")))
            .collect::<Vec<_>>();
        let health_table = HealthTable::default();
        for name in &worker_names {
            health_table.add_worker(name);
        }
        Self {
            rule,
            health_table,
            rng: SeededRng::new(seed),
            bad_workers,
            bad_job_probability,
            worker_indices: worker_names.iter().cloned().zip(0..).collect(),
            worker_names,
            now: Millis(0),
            free_slots: (0..WORKERS * SLOTS).map(|n| n / SLOTS).collect(),
            quarantined: HashSet::new(),
            consecutive_failures: vec![0; WORKERS],
            scheduled_restores: VecDeque::new(),
            pending_jobs: VecDeque::new(),
            ends: BinaryHeap::new(),
            last_job_id: 0,
            busy_slots: 0,
            detected_at: HashMap::new(),
            lost_tasks: 0,
            false_quarantines: 0,
            bad_jobs_seen: 0,
            bad_jobs_failed: 0,
            bad_job_attempts: 0,
            good_jobs_failed: 0,
            good_jobs_given_up: 0,
            max_quarantined: 0,
            restored_after_repair: 0,
            succeeded_tasks: 0,
        }
    }

    pub(crate) fn run(&mut self) {
        self.fill_slots();
        while let Some(Reverse((time, _, worker, job, outcome))) = self.ends.pop() {
            if time > END_AT {
                return;
            }
            self.now = time;
            self.busy_slots -= 1;
            self.free_slots.push(worker);
            self.handle_end(worker, job, outcome);
            while let Some((at, worker)) = self.scheduled_restores.front().copied()
                && at <= time
            {
                self.scheduled_restores.pop_front();
                self.quarantined.remove(&worker);
            }
            self.probe();
            self.fill_slots();
        }
    }

    fn is_broken(&self, worker: usize) -> bool {
        worker < self.bad_workers && self.now >= BROKEN_FROM && self.now < REPAIRED_AT
    }

    /// Starts tasks until [`BUSY_SHARE`] of the slots are busy or no free slot is found.
    fn fill_slots(&mut self) {
        while self.busy_slots < (WORKERS as f64 * SLOTS as f64 * BUSY_SHARE) as usize {
            let job = self.next_job_to_start();
            let failed_on = if self.rule == Rule::Table {
                self.health_table.workers_with_failure(job.id)
            } else {
                Vec::new()
            };
            let slot = (0..64)
                .map(|_| self.rng.index(self.free_slots.len()))
                .find(|slot| {
                    let worker = self.free_slots[*slot];
                    !self.quarantined.contains(&worker)
                        && !failed_on.contains(&self.worker_names[worker])
                });
            let Some(slot) = slot else {
                self.pending_jobs.push_front(job);
                return;
            };
            let worker = self.free_slots.swap_remove(slot);
            self.start(worker, job);
        }
    }

    fn next_job_to_start(&mut self) -> Job {
        self.pending_jobs.pop_front().unwrap_or_else(|| {
            self.last_job_id += 1;
            let is_bad = self.rng.chance(self.bad_job_probability);
            self.bad_jobs_seen += u64::from(is_bad);
            Job {
                id: JobId(self.last_job_id),
                is_bad,
                attempts: 0,
            }
        })
    }

    fn start(&mut self, worker: usize, mut job: Job) {
        job.attempts += 1;
        self.bad_job_attempts += u64::from(job.is_bad);
        self.busy_slots += 1;
        let will_fail =
            job.is_bad || self.is_broken(worker) || self.rng.chance(QUICK_FAILURE_PROBABILITY);
        let (time, outcome) = if will_fail {
            (100 + self.rng.below(900), Outcome::QuickFailure)
        } else {
            (
                1_000 + self.rng.exponential(MEAN_RUN_MS) as u64,
                Outcome::Success,
            )
        };
        let end = self.now + Millis(time);
        let tie_break = self.rng.below(u64::MAX);
        self.ends
            .push(Reverse((end, tie_break, worker, job, outcome)));
    }

    fn handle_end(&mut self, worker: usize, job: Job, outcome: Outcome) {
        let name = self.worker_names[worker].clone();
        if outcome == Outcome::Success {
            self.succeeded_tasks += 1;
            self.consecutive_failures[worker] = 0;
            let decisions = self.health_table.record_success(&name, job.id, self.now);
            self.health_table.forget_job(job.id);
            self.apply_decisions(decisions, job);
            return;
        }
        if !job.is_bad {
            self.lost_tasks += 1;
        }
        let mut job_failed = false;
        match self.rule {
            Rule::Table => {
                let decisions = self
                    .health_table
                    .record_failure(&name, job.id, self.now, true);
                job_failed = decisions
                    .iter()
                    .any(|decision| matches!(decision, HealthDecision::FailJob { .. }));
                self.apply_decisions(decisions, job);
            }
            Rule::InARow => {
                self.consecutive_failures[worker] += 1;
                if self.consecutive_failures[worker] >= 3 && !self.quarantined.contains(&worker) {
                    self.consecutive_failures[worker] = 0;
                    self.quarantine(worker);
                    self.scheduled_restores
                        .push_back((self.now + Millis(600_000), worker));
                }
            }
            Rule::None => {}
        }
        if job_failed {
            return;
        }
        if job.attempts >= MAX_ATTEMPTS {
            self.good_jobs_given_up += u64::from(!job.is_bad);
        } else {
            self.pending_jobs.push_back(job);
        }
    }

    fn quarantine(&mut self, worker: usize) {
        self.quarantined.insert(worker);
        self.max_quarantined = self.max_quarantined.max(self.quarantined.len());
        if self.is_broken(worker) {
            self.detected_at.entry(worker).or_insert(self.now);
        } else {
            self.false_quarantines += 1;
        }
    }

    fn apply_decisions(&mut self, decisions: Vec<HealthDecision>, job: Job) {
        if self.rule != Rule::Table {
            return;
        }
        for decision in decisions {
            match decision {
                HealthDecision::Quarantine { worker, .. } => {
                    self.quarantine(self.worker_indices[&worker]);
                }
                HealthDecision::Restore { worker } => {
                    let worker = self.worker_indices[&worker];
                    self.quarantined.remove(&worker);
                    self.restored_after_repair += u64::from(worker < self.bad_workers);
                }
                HealthDecision::Clear { worker } => {
                    self.quarantined.remove(&self.worker_indices[&worker]);
                }
                HealthDecision::ProbeFailed { .. } | HealthDecision::Suspect { .. } => {}
                HealthDecision::FailJob { .. } if job.is_bad => self.bad_jobs_failed += 1,
                HealthDecision::FailJob { .. } => self.good_jobs_failed += 1,
            }
        }
    }

    /// Starts one task on each quarantined worker whose probe is due.
    fn probe(&mut self) {
        for name in self.health_table.take_due_probes(self.now, 8) {
            let worker = self.worker_indices[&name];
            let Some(slot) = self
                .free_slots
                .iter()
                .position(|free_worker| *free_worker == worker)
            else {
                self.health_table.cancel_probe(&name, self.now);
                continue;
            };
            self.free_slots.swap_remove(slot);
            let job = self.next_job_to_start();
            self.start(worker, job);
        }
    }
}
