use std::{
    collections::HashMap,
    fmt,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
};

use tarragon_names::{Class, JobId, Millis, Resources, TeamName};
use tarragon_shard::Sharded;

use crate::{
    DeadlineWarning, PushError, QueueConfig, QueuePosition, QueuedJob, Quota, Quotas, rank::Rank,
    team_shard::TeamShard,
};

const SHARD_COUNT: usize = 8;

/// Number of jobs that `next_fitting` considers if the first one does not fit.
const LOOKAHEAD_JOBS: usize = 64;

/// Waiting jobs of all teams, sharded by team.
///
/// Lock order: `teams_by_job`, `shards`, `quotas`.
pub struct JobQueue {
    cfg: QueueConfig,
    teams_by_job: Sharded<HashMap<JobId, TeamName>>,
    shards: Sharded<TeamShard>,
    quotas: Quotas,
    job_count: AtomicUsize,
}

impl JobQueue {
    /// An empty queue.
    pub fn new(cfg: QueueConfig) -> Self {
        Self {
            teams_by_job: Sharded::new(SHARD_COUNT, |_| HashMap::new()),
            shards: Sharded::new(SHARD_COUNT, |_| TeamShard::default()),
            quotas: Quotas::new(cfg.default_quota),
            job_count: AtomicUsize::new(0),
            cfg,
        }
    }

    /// Quotas and resource usage of the teams.
    pub fn quotas(&self) -> &Quotas {
        &self.quotas
    }

    /// Number of waiting jobs.
    pub fn len(&self) -> usize {
        self.job_count.load(Ordering::Relaxed)
    }

    /// Whether no job is waiting.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Adds a job. Costs O(log jobs of the team + log teams).
    pub fn push(&self, job: QueuedJob) -> Result<(), PushError> {
        self.teams_by_job.with(&job.job.clone(), |teams_by_job| {
            if teams_by_job.contains_key(&job.job) {
                return Err(PushError::Duplicate);
            }
            let (id, team) = (job.job, job.team.clone());
            self.shards.with(&team, |shard| {
                if shard.team_jobs(&team) >= self.cfg.max_team_jobs {
                    return Err(PushError::TeamFull);
                }
                let max = self.cfg.max_jobs;
                self.job_count
                    .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |count| {
                        (count < max).then_some(count + 1)
                    })
                    .map_err(|_full| PushError::QueueFull)?;
                shard.push(job, self.quotas.team(&team), &self.cfg);
                Ok(())
            })?;
            teams_by_job.insert(id, team);
            Ok(())
        })
    }

    /// Removes a job; `None` if it is not waiting. Costs O(log jobs of the team + log teams).
    pub fn remove(&self, job: JobId) -> Option<Arc<QueuedJob>> {
        self.teams_by_job.with(&job, |teams_by_job| {
            let team = teams_by_job.remove(&job)?;
            let removed = self.shards.with(&team, |shard| shard.remove(job));
            if removed.is_some() {
                self.job_count.fetch_sub(1, Ordering::Relaxed);
            }
            removed
        })
    }

    /// Whether the job is waiting.
    pub fn contains(&self, job: JobId) -> bool {
        self.teams_by_job
            .with(&job, |teams_by_job| teams_by_job.contains_key(&job))
    }

    /// First job in queue order with a task that fits into `free`; `None` if there is none among
    /// the first `LOOKAHEAD_JOBS`.
    pub fn next_fitting(&self, now: Millis, free: &Resources) -> Option<Arc<QueuedJob>> {
        let head = self.candidates(now, 1).pop()?;
        if head.resources.fits(free) {
            return Some(head);
        }
        self.candidates(now, LOOKAHEAD_JOBS)
            .into_iter()
            .find(|job| job.resources.fits(free))
    }

    /// First `limit` jobs in queue order, without the jobs of teams at their ceiling.
    ///
    /// Costs O(limit × log teams) in all, independent of the number of waiting jobs. Each shard
    /// first lists twice its even share of `limit`. If the last job of such a list still ranks
    /// among the first `limit` overall, the shard is queried again for `limit` jobs.
    pub fn candidates(&self, now: Millis, limit: usize) -> Vec<Arc<QueuedJob>> {
        let per_shard = (2 * limit.div_ceil(SHARD_COUNT)).min(limit);
        let mut lists = (0..SHARD_COUNT)
            .map(|shard| self.shard_candidates(shard, now, per_shard))
            .collect::<Vec<_>>();
        let mut ranks = lists
            .iter()
            .flatten()
            .map(|(rank, _)| *rank)
            .collect::<Vec<_>>();
        ranks.sort_unstable();
        let last_rank = limit.checked_sub(1).and_then(|last| ranks.get(last));
        for (shard, list) in lists.iter_mut().enumerate() {
            let may_have_more = list.len() == per_shard && per_shard < limit;
            if may_have_more
                && list
                    .last()
                    .is_some_and(|(last, _)| last_rank.is_none_or(|last_rank| last < last_rank))
            {
                *list = self.shard_candidates(shard, now, limit);
            }
        }
        let mut ranked = lists.into_iter().flatten().collect::<Vec<_>>();
        ranked.sort_unstable_by_key(|(rank, _)| *rank);
        ranked.truncate(limit);
        ranked.into_iter().map(|(_, job)| job).collect()
    }

    fn shard_candidates(
        &self,
        shard: usize,
        now: Millis,
        limit: usize,
    ) -> Vec<(Rank, Arc<QueuedJob>)> {
        self.shards.with_shard(shard, |shard| {
            shard.promote_aged(now, &self.cfg);
            let mut candidates = Vec::new();
            shard.candidates(now, &self.cfg, limit, &mut candidates);
            candidates
        })
    }

    /// Sets the quota of a team and reorders its jobs. Costs O(log teams).
    pub fn set_quota(&self, team: &TeamName, quota: Quota) {
        self.shards.with(team, |shard| {
            shard.set_usage(team, self.quotas.set(team, quota));
        });
    }

    /// Adds resources to the usage of a team and reorders its jobs. Costs O(log teams).
    pub fn add_usage(&self, team: &TeamName, resources: &Resources) {
        self.shards.with(team, |shard| {
            shard.set_usage(team, self.quotas.add_usage(team, resources));
        });
    }

    /// Subtracts resources from the usage of a team and reorders its jobs. Costs O(log teams).
    pub fn subtract_usage(&self, team: &TeamName, resources: &Resources) {
        self.shards.with(team, |shard| {
            shard.set_usage(team, self.quotas.subtract_usage(team, resources));
        });
    }

    /// Position of a waiting job; `None` if the job is not waiting.
    ///
    /// Costs O(older jobs of the same team and class).
    pub fn position(&self, job: JobId) -> Option<QueuePosition> {
        let team = self
            .teams_by_job
            .with(&job, |teams_by_job| teams_by_job.get(&job).cloned())?;
        let (class, team_jobs_ahead, usage, queued) =
            self.shards.with(&team, |shard| shard.position_of(job))?;
        let loads = self.class_loads();
        Some(QueuePosition {
            class,
            higher_class_jobs: loads[..class as usize].iter().map(|(count, _)| count).sum(),
            same_class_jobs: loads[class as usize].0,
            team_jobs_ahead,
            team_usage_percent: usage.dominant_share() / 10_000,
            at_ceiling: !usage.ceiling_allows(&queued.minimum_to_start()),
            latest_start: queued.latest_start(),
        })
    }

    /// Time until a new job of a class would start if all of `capacity` processed the jobs ahead.
    ///
    /// This is a lower bound, because it ignores running work and fragmentation.
    pub fn expected_wait(&self, class: Class, capacity: &Resources) -> Millis {
        let loads = self.class_loads();
        let work = loads[..=class as usize]
            .iter()
            .map(|(_, work)| work)
            .sum::<u128>();
        let wait = work / u128::from(capacity.cpu_milli.max(1));
        Millis(u64::try_from(wait).unwrap_or(u64::MAX))
    }

    /// Jobs that are expected to miss their deadline, at most `limit` per call.
    ///
    /// Each job is returned only once while it is in the queue.
    pub fn deadline_warnings(
        &self,
        now: Millis,
        capacity: &Resources,
        limit: usize,
    ) -> Vec<DeadlineWarning> {
        let expected_starts = Class::ALL.map(|class| now + self.expected_wait(class, capacity));
        let mut warnings = Vec::new();
        self.shards.for_each(|shard| {
            for class in Class::ALL {
                shard.take_warnings(class, expected_starts[class as usize], limit, &mut warnings);
            }
        });
        warnings
    }

    /// Number of waiting jobs and their work in each class.
    fn class_loads(&self) -> [(usize, u128); Class::ALL.len()] {
        let mut loads = [(0, 0); Class::ALL.len()];
        self.shards.for_each(|shard| {
            for class in Class::ALL {
                let (count, work) = shard.class_load(class);
                loads[class as usize].0 += count;
                loads[class as usize].1 += work;
            }
        });
        loads
    }
}

impl fmt::Debug for JobQueue {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("JobQueue")
            .field("cfg", &self.cfg)
            .field("waiting", &self.len())
            .finish_non_exhaustive()
    }
}
