use std::{
    collections::{BTreeSet, HashMap},
    fmt,
    sync::atomic::{AtomicUsize, Ordering},
};

use tarragon_names::{JobId, Millis, WorkerName};
use tarragon_shard::Sharded;

use crate::{
    HealthConfig, HealthDecision,
    job_failures::JobFailures,
    worker_health::{Quarantine, WorkerHealth},
};

/// Number of shards of the job table and of the worker table.
const SHARDS: usize = 16;

/// Failures and successes of all workers and jobs.
///
/// Lock order: one job shard, one worker shard at a time, then the probe set.
pub struct HealthTable {
    cfg: HealthConfig,
    jobs: Sharded<HashMap<JobId, JobFailures>>,
    workers: Sharded<HashMap<WorkerName, WorkerHealth>>,
    /// Quarantined workers ordered by the time of the next probe, so that finding the due ones
    /// does not visit every worker.
    probes: Sharded<BTreeSet<(Millis, WorkerName)>>,
    worker_count: AtomicUsize,
    quarantined_count: AtomicUsize,
}

impl HealthTable {
    /// Creates an empty table.
    pub fn new(cfg: HealthConfig) -> Self {
        Self {
            cfg,
            jobs: Sharded::new(SHARDS, |_| HashMap::new()),
            workers: Sharded::new(SHARDS, |_| HashMap::new()),
            probes: Sharded::new(1, |_| BTreeSet::new()),
            worker_count: AtomicUsize::new(0),
            quarantined_count: AtomicUsize::new(0),
        }
    }

    /// Adds a worker. A known worker keeps its history, so that a restart does not clear it.
    pub fn add_worker(&self, worker: &WorkerName) {
        self.workers.with(worker, |shard| {
            if !shard.contains_key(worker) {
                shard.insert(worker.clone(), WorkerHealth::default());
                self.worker_count.fetch_add(1, Ordering::Relaxed);
            }
        });
    }

    /// Removes a worker that left the cluster, with its history.
    pub fn remove_worker(&self, worker: &WorkerName) {
        let removed = self.workers.with(worker, |shard| shard.remove(worker));
        let Some(health) = removed else { return };
        self.worker_count.fetch_sub(1, Ordering::Relaxed);
        if let Some(quarantine) = health.quarantine {
            self.quarantined_count.fetch_sub(1, Ordering::Relaxed);
            self.probes.with_shard(0, |probes| {
                probes.remove(&(quarantine.probe_at, worker.clone()));
            });
        }
    }

    /// Counts a failed task. `is_quick` means that the task failed well before its expected end;
    /// only quick failures lead to a quarantine of the worker.
    pub fn record_failure(
        &self,
        worker: &WorkerName,
        job: JobId,
        now: Millis,
        is_quick: bool,
    ) -> Vec<HealthDecision> {
        let mut decisions = Vec::new();
        self.jobs.with(&job, |shard| {
            let failures = shard.entry(job).or_default();
            failures.last_failure_at = now;
            if !failures.workers.contains(worker) {
                failures.workers.push(worker.clone());
            }
            if failures.workers.len() > 1 {
                // The job fails on several workers, so its failures are no evidence against any of
                // them.
                for other in &failures.workers {
                    decisions.extend(self.withdraw_failure(other, job));
                }
            }
            let is_only_worker = failures.workers.len() == 1;
            self.with_worker(worker, |health| {
                health.record_failure(job);
                self.count_worker_failure(
                    health,
                    worker,
                    job,
                    now,
                    is_quick && is_only_worker,
                    &mut decisions,
                );
            });
            if failures.is_failed {
                return;
            }
            let good_workers = failures
                .workers
                .iter()
                .filter(|worker| {
                    self.with_worker(worker, |health| health.others_succeed(job))
                        .unwrap_or(false)
                })
                .cloned()
                .collect::<Vec<_>>();
            if good_workers.len() >= self.cfg.min_failed_workers {
                failures.is_failed = true;
                decisions.push(HealthDecision::FailJob {
                    job,
                    workers: good_workers,
                });
            }
        });
        decisions
    }

    /// Withdraws the failure of a job from the evidence against a worker, and ends the quarantine
    /// that rests on it alone.
    fn withdraw_failure(&self, worker: &WorkerName, job: JobId) -> Option<HealthDecision> {
        self.with_worker(worker, |health| {
            if !health.withdraw(job) {
                return None;
            }
            if let Some(quarantine) = health.quarantine.take() {
                self.quarantined_count.fetch_sub(1, Ordering::Relaxed);
                self.probes.with_shard(0, |probes| {
                    probes.remove(&(quarantine.probe_at, worker.clone()));
                });
            }
            let worker = worker.clone();
            Some(HealthDecision::Clear { worker })
        })
        .flatten()
    }

    fn count_worker_failure(
        &self,
        health: &mut WorkerHealth,
        worker: &WorkerName,
        job: JobId,
        now: Millis,
        is_evidence: bool,
        decisions: &mut Vec<HealthDecision>,
    ) {
        if let Some(quarantine) = &mut health.quarantine {
            if !quarantine.is_probing {
                return;
            }
            quarantine.is_probing = false;
            // A failure that says nothing about the worker leaves the probe without an outcome.
            quarantine.probe_at = now;
            if is_evidence {
                if quarantine.evidence.len() < self.cfg.min_failed_jobs {
                    quarantine.evidence.insert(job);
                }
                quarantine.probe_delay =
                    Millis(quarantine.probe_delay.0 * 2).min(self.cfg.max_probe_delay);
                quarantine.probe_at = now + quarantine.probe_delay;
                decisions.push(HealthDecision::ProbeFailed {
                    worker: worker.clone(),
                    probe_at: quarantine.probe_at,
                });
            }
            let probe = (quarantine.probe_at, worker.clone());
            self.probes.with_shard(0, |probes| probes.insert(probe));
            return;
        }
        if !is_evidence {
            return;
        }
        // Jobs beyond the threshold add no information, and the set must stay bounded if the limit
        // on quarantined workers keeps this worker in service.
        if health.suspicious_failures.len() < self.cfg.min_failed_jobs {
            health.suspicious_failures.insert(job);
        }
        if health.suspicious_failures.len() >= self.cfg.min_failed_jobs
            && self.try_reserve_quarantine()
        {
            let probe_at = now + self.cfg.min_probe_delay;
            health.quarantine = Some(Quarantine {
                evidence: std::mem::take(&mut health.suspicious_failures),
                probe_at,
                probe_delay: self.cfg.min_probe_delay,
                is_probing: false,
            });
            health.recent_failures.clear();
            health.recent_successes = [None; 2];
            self.probes
                .with_shard(0, |probes| probes.insert((probe_at, worker.clone())));
            decisions.push(HealthDecision::Quarantine {
                worker: worker.clone(),
                probe_at,
            });
            return;
        }
        decisions.push(HealthDecision::Suspect {
            worker: worker.clone(),
            failed_jobs: health.suspicious_failures.len(),
        });
    }

    /// Counts a task that succeeded.
    ///
    /// A quarantined worker is restored only by a success during a probe. A task that started
    /// before the quarantine may succeed although new tasks fail.
    pub fn record_success(
        &self,
        worker: &WorkerName,
        job: JobId,
        _now: Millis,
    ) -> Vec<HealthDecision> {
        self.with_worker(worker, |health| {
            health.record_success(job);
            if !health
                .quarantine
                .as_ref()
                .is_some_and(|quarantine| quarantine.is_probing)
            {
                return Vec::new();
            }
            health.quarantine = None;
            self.quarantined_count.fetch_sub(1, Ordering::Relaxed);
            vec![HealthDecision::Restore {
                worker: worker.clone(),
            }]
        })
        .unwrap_or_default()
    }

    /// Returns at most `limit` quarantined workers that are due for one probe task each.
    ///
    /// Each worker is returned once; its next probe is scheduled after the outcome of this one.
    pub fn take_due_probes(&self, now: Millis, limit: usize) -> Vec<WorkerName> {
        let due = self.probes.with_shard(0, |probes| {
            let mut due = Vec::new();
            while due.len() < limit
                && let Some((at, _)) = probes.first()
                && *at <= now
            {
                due.extend(probes.pop_first().map(|(_, worker)| worker));
            }
            due
        });
        for worker in &due {
            self.with_worker(worker, |health| {
                if let Some(quarantine) = &mut health.quarantine {
                    quarantine.is_probing = true;
                }
            });
        }
        due
    }

    /// Cancels a probe that could not be started. The next probe is due after the same delay.
    pub fn cancel_probe(&self, worker: &WorkerName, now: Millis) {
        self.with_worker(worker, |health| {
            if let Some(quarantine) = &mut health.quarantine
                && quarantine.is_probing
            {
                quarantine.is_probing = false;
                quarantine.probe_at = now + quarantine.probe_delay;
                let probe = (quarantine.probe_at, worker.clone());
                self.probes.with_shard(0, |probes| probes.insert(probe));
            }
        });
    }

    /// Removes the failures of a job that ended.
    pub fn forget_job(&self, job: JobId) {
        self.jobs.with(&job, |shard| shard.remove(&job));
    }

    /// Removes jobs without a failure for `job_retention`.
    pub fn forget_expired_jobs(&self, now: Millis) {
        self.jobs.for_each(|shard| {
            shard
                .retain(|_, failures| now.since(failures.last_failure_at) < self.cfg.job_retention);
        });
    }

    /// Returns whether a worker is quarantined.
    pub fn is_quarantined(&self, worker: &WorkerName) -> bool {
        self.with_worker(worker, |health| health.quarantine.is_some())
            .unwrap_or(false)
    }

    /// Returns the workers that a job failed on, to be excluded from its next placement.
    pub fn workers_with_failure(&self, job: JobId) -> Vec<WorkerName> {
        self.jobs.with(&job, |shard| {
            shard
                .get(&job)
                .map(|failures| failures.workers.clone())
                .unwrap_or_default()
        })
    }

    /// Number of quarantined workers.
    pub fn quarantined_count(&self) -> usize {
        self.quarantined_count.load(Ordering::Relaxed)
    }

    /// Reserves a place in quarantine, unless the limit is reached; the limit is at least one.
    fn try_reserve_quarantine(&self) -> bool {
        let worker_count = self.worker_count.load(Ordering::Relaxed);
        let limit = (worker_count * self.cfg.max_quarantined_percent / 100).max(1);
        self.quarantined_count
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |count| {
                (count < limit).then_some(count + 1)
            })
            .is_ok()
    }

    fn with_worker<F, R>(&self, worker: &WorkerName, f: F) -> Option<R>
    where
        F: FnOnce(&mut WorkerHealth) -> R,
    {
        self.workers
            .with(worker, |shard| shard.get_mut(worker).map(f))
    }
}

impl Default for HealthTable {
    fn default() -> Self {
        Self::new(HealthConfig::default())
    }
}

impl fmt::Debug for HealthTable {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("HealthTable")
            .field("cfg", &self.cfg)
            .field("quarantined", &self.quarantined_count())
            .finish_non_exhaustive()
    }
}
