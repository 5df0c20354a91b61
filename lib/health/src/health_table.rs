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

const SHARDS: usize = 16;

/// Failures and successes of workers and jobs.
///
/// Lock order: one job shard, then one worker shard at a time.
pub struct HealthTable {
    cfg: HealthConfig,
    jobs: Sharded<HashMap<JobId, JobFailures>>,
    workers: Sharded<HashMap<WorkerName, WorkerHealth>>,
    /// Workers in quarantine by the time of their next probe, so that finding the due ones does
    /// not visit every worker.
    probes: Sharded<BTreeSet<(Millis, WorkerName)>>,
    known: AtomicUsize,
    quarantined: AtomicUsize,
}

impl HealthTable {
    /// An empty table.
    pub fn new(cfg: HealthConfig) -> Self {
        Self {
            cfg,
            jobs: Sharded::new(SHARDS, |_| HashMap::new()),
            workers: Sharded::new(SHARDS, |_| HashMap::new()),
            probes: Sharded::new(1, |_| BTreeSet::new()),
            known: AtomicUsize::new(0),
            quarantined: AtomicUsize::new(0),
        }
    }

    /// Adds a worker; one that is known keeps its history, so that a restart does not clear it.
    pub fn add_worker(&self, worker: &WorkerName) {
        self.workers.with(worker, |shard| {
            if !shard.contains_key(worker) {
                shard.insert(worker.clone(), WorkerHealth::default());
                self.known.fetch_add(1, Ordering::Relaxed);
            }
        });
    }

    /// Forgets a worker that was taken out of the cluster.
    pub fn remove_worker(&self, worker: &WorkerName) {
        let removed = self.workers.with(worker, |shard| shard.remove(worker));
        let Some(health) = removed else { return };
        self.known.fetch_sub(1, Ordering::Relaxed);
        if let Some(quarantine) = health.quarantine {
            self.quarantined.fetch_sub(1, Ordering::Relaxed);
            self.probes.with_shard(0, |probes| {
                probes.remove(&(quarantine.probe_at, worker.clone()));
            });
        }
    }

    /// Counts a failed task; `quick` tells that it failed well before its expected end.
    pub fn record_failure(
        &self,
        worker: &WorkerName,
        job: JobId,
        now: Millis,
        quick: bool,
    ) -> Vec<HealthDecision> {
        let mut verdicts = Vec::new();
        self.jobs.with(&job, |shard| {
            let failures = shard.entry(job).or_default();
            failures.last = now;
            if !failures.workers.contains(worker) {
                failures.workers.push(worker.clone());
            }
            if failures.workers.len() > 1 {
                // The job fails elsewhere too, so it says nothing about any of these workers.
                for other in &failures.workers {
                    self.with_known(other, |health| health.failed_jobs.remove(&job));
                }
            }
            let alone = failures.workers.len() == 1;
            self.with_known(worker, |health| {
                health.note_failure(job);
                self.count_failure(health, worker, job, now, quick && alone, &mut verdicts);
            });
            if failures.held {
                return;
            }
            let good = failures
                .workers
                .iter()
                .filter(|worker| {
                    self.with_known(worker, |health| health.others_succeed(job))
                        .unwrap_or(false)
                })
                .cloned()
                .collect::<Vec<_>>();
            if good.len() >= self.cfg.min_failed_workers {
                failures.held = true;
                verdicts.push(HealthDecision::FailJob { job, workers: good });
            }
        });
        verdicts
    }

    fn count_failure(
        &self,
        health: &mut WorkerHealth,
        worker: &WorkerName,
        job: JobId,
        now: Millis,
        counts: bool,
        verdicts: &mut Vec<HealthDecision>,
    ) {
        if let Some(quarantine) = &mut health.quarantine {
            if quarantine.probing {
                quarantine.probing = false;
                quarantine.backoff = Millis(quarantine.backoff.0 * 2).min(self.cfg.max_probe_delay);
                quarantine.probe_at = now + quarantine.backoff;
                let probe = (quarantine.probe_at, worker.clone());
                self.probes.with_shard(0, |probes| probes.insert(probe));
            }
            return;
        }
        if !counts {
            return;
        }
        // More jobs than the threshold carry no information, and the set must stay bounded when
        // the limit on quarantined workers keeps this worker in service.
        if health.failed_jobs.len() < self.cfg.min_failed_jobs {
            health.failed_jobs.insert(job);
        }
        if health.failed_jobs.len() >= self.cfg.min_failed_jobs && self.claim_quarantine() {
            let probe_at = now + self.cfg.min_probe_delay;
            health.quarantine = Some(Quarantine {
                probe_at,
                backoff: self.cfg.min_probe_delay,
                probing: false,
            });
            health.failed_jobs.clear();
            health.failed_since.clear();
            health.succeeded = [None; 2];
            self.probes
                .with_shard(0, |probes| probes.insert((probe_at, worker.clone())));
            verdicts.push(HealthDecision::Quarantine {
                worker: worker.clone(),
                probe_at,
            });
        }
    }

    /// Counts a task that ended well.
    ///
    /// A quarantined worker is restored by the success of its probe only: a task that started
    /// before the quarantine says nothing about what fails now.
    pub fn record_success(
        &self,
        worker: &WorkerName,
        job: JobId,
        _now: Millis,
    ) -> Vec<HealthDecision> {
        self.with_known(worker, |health| {
            health.note_success(job);
            if !health
                .quarantine
                .is_some_and(|quarantine| quarantine.probing)
            {
                return Vec::new();
            }
            health.quarantine = None;
            self.quarantined.fetch_sub(1, Ordering::Relaxed);
            vec![HealthDecision::Restore {
                worker: worker.clone(),
            }]
        })
        .unwrap_or_default()
    }

    /// Hands out the quarantined workers that are due for one probe task, at most `limit`.
    ///
    /// A worker is handed out once; its next probe is due after the outcome of this one.
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
            self.with_known(worker, |health| {
                if let Some(quarantine) = &mut health.quarantine {
                    quarantine.probing = true;
                }
            });
        }
        due
    }

    /// Takes back a probe that could not be started; it is due again after the same backoff.
    pub fn cancel_probe(&self, worker: &WorkerName, now: Millis) {
        self.with_known(worker, |health| {
            if let Some(quarantine) = &mut health.quarantine
                && quarantine.probing
            {
                quarantine.probing = false;
                quarantine.probe_at = now + quarantine.backoff;
                let probe = (quarantine.probe_at, worker.clone());
                self.probes.with_shard(0, |probes| probes.insert(probe));
            }
        });
    }

    /// Forgets a job that ended.
    pub fn forget_job(&self, job: JobId) {
        self.jobs.with(&job, |shard| shard.remove(&job));
    }

    /// Forgets jobs without a failure for `job_retention`.
    pub fn forget_expired_jobs(&self, now: Millis) {
        self.jobs.for_each(|shard| {
            shard.retain(|_, failures| now.since(failures.last) < self.cfg.job_retention);
        });
    }

    /// Tells whether a worker is in quarantine.
    pub fn is_quarantined(&self, worker: &WorkerName) -> bool {
        self.with_known(worker, |health| health.quarantine.is_some())
            .unwrap_or(false)
    }

    /// Workers that a job failed on, to be excluded from its next placement.
    pub fn workers_with_failure(&self, job: JobId) -> Vec<WorkerName> {
        self.jobs.with(&job, |shard| {
            shard
                .get(&job)
                .map(|failures| failures.workers.clone())
                .unwrap_or_default()
        })
    }

    /// Number of workers in quarantine.
    pub fn quarantined_count(&self) -> usize {
        self.quarantined.load(Ordering::Relaxed)
    }

    /// Takes one of the places in quarantine, of which there is always at least one.
    fn claim_quarantine(&self) -> bool {
        let known = self.known.load(Ordering::Relaxed);
        let most = (known * self.cfg.max_quarantined_percent / 100).max(1);
        self.quarantined
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |count| {
                (count < most).then_some(count + 1)
            })
            .is_ok()
    }

    fn with_known<F, R>(&self, worker: &WorkerName, f: F) -> Option<R>
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
