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

const SHARDS: usize = 8;

/// Jobs that `next` looks at behind a head that does not fit.
const LOOKAHEAD: usize = 64;

/// Waiting jobs of all teams, sharded by team.
///
/// Lock order: directory of jobs, team shard, quotas.
pub struct JobQueue {
    cfg: QueueConfig,
    directory: Sharded<HashMap<JobId, TeamName>>,
    shards: Sharded<TeamShard>,
    quotas: Quotas,
    waiting: AtomicUsize,
}

impl JobQueue {
    /// An empty queue.
    pub fn new(cfg: QueueConfig) -> Self {
        Self {
            directory: Sharded::new(SHARDS, |_| HashMap::new()),
            shards: Sharded::new(SHARDS, |_| TeamShard::default()),
            quotas: Quotas::new(cfg.default_quota),
            waiting: AtomicUsize::new(0),
            cfg,
        }
    }

    /// Quotas and use of the teams.
    pub fn quotas(&self) -> &Quotas {
        &self.quotas
    }

    /// Number of waiting jobs.
    pub fn len(&self) -> usize {
        self.waiting.load(Ordering::Relaxed)
    }

    /// Tells whether no job waits.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Adds a job. Costs O(log jobs of the team + log teams).
    pub fn push(&self, job: QueuedJob) -> Result<(), PushError> {
        self.directory.with(&job.job.clone(), |directory| {
            if directory.contains_key(&job.job) {
                return Err(PushError::Duplicate);
            }
            let (id, team) = (job.job, job.team.clone());
            self.shards.with(&team, |shard| {
                if shard.team_waiting(&team) >= self.cfg.max_team_jobs {
                    return Err(PushError::TeamFull);
                }
                let max = self.cfg.max_jobs;
                self.waiting
                    .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |waiting| {
                        (waiting < max).then_some(waiting + 1)
                    })
                    .map_err(|_full| PushError::QueueFull)?;
                shard.push(job, self.quotas.team(&team), &self.cfg);
                Ok(())
            })?;
            directory.insert(id, team);
            Ok(())
        })
    }

    /// Takes a job out. Costs O(log jobs of the team + log teams).
    pub fn remove(&self, job: JobId) -> Option<Arc<QueuedJob>> {
        self.directory.with(&job, |directory| {
            let team = directory.remove(&job)?;
            let removed = self.shards.with(&team, |shard| shard.remove(job));
            if removed.is_some() {
                self.waiting.fetch_sub(1, Ordering::Relaxed);
            }
            removed
        })
    }

    /// Tells whether the job waits.
    pub fn contains(&self, job: JobId) -> bool {
        self.directory
            .with(&job, |directory| directory.contains_key(&job))
    }

    /// First job in order of which a task fits into `free`, among the first `LOOKAHEAD`.
    pub fn next_fitting(&self, now: Millis, free: &Resources) -> Option<Arc<QueuedJob>> {
        let head = self.candidates(now, 1).pop()?;
        if head.resources.fits(free) {
            return Some(head);
        }
        self.candidates(now, LOOKAHEAD)
            .into_iter()
            .find(|job| job.resources.fits(free))
    }

    /// First `limit` jobs in order, without those of teams at their ceiling.
    ///
    /// Costs O(limit × log teams) in all, independent of the number of waiting jobs. Each shard
    /// first gives twice its part of `limit`; one whose last job still ranks among the first
    /// `limit` of all is asked again.
    pub fn candidates(&self, now: Millis, limit: usize) -> Vec<Arc<QueuedJob>> {
        let part = (2 * limit.div_ceil(SHARDS)).min(limit);
        let mut lists = (0..SHARDS)
            .map(|shard| self.first_of(shard, now, part))
            .collect::<Vec<_>>();
        let mut ranks = lists
            .iter()
            .flatten()
            .map(|(rank, _)| *rank)
            .collect::<Vec<_>>();
        ranks.sort_unstable();
        let cut = limit.checked_sub(1).and_then(|last| ranks.get(last));
        for (shard, list) in lists.iter_mut().enumerate() {
            let more = list.len() == part && part < limit;
            if more
                && list
                    .last()
                    .is_some_and(|(last, _)| cut.is_none_or(|cut| last < cut))
            {
                *list = self.first_of(shard, now, limit);
            }
        }
        let mut ranked = lists.into_iter().flatten().collect::<Vec<_>>();
        ranked.sort_unstable_by_key(|(rank, _)| *rank);
        ranked.truncate(limit);
        ranked.into_iter().map(|(_, job)| job).collect()
    }

    fn first_of(&self, shard: usize, now: Millis, limit: usize) -> Vec<(Rank, Arc<QueuedJob>)> {
        self.shards.with_shard(shard, |shard| {
            shard.age(now, &self.cfg);
            let mut first = Vec::new();
            shard.candidates(now, &self.cfg, limit, &mut first);
            first
        })
    }

    /// Sets the quota of a team.
    pub fn set_quota(&self, team: &TeamName, quota: Quota) {
        self.shards.with(team, |shard| {
            shard.set_usage(team, self.quotas.set(team, quota));
        });
    }

    /// Counts resources as used by a team. Costs O(log teams).
    pub fn add_usage(&self, team: &TeamName, resources: &Resources) {
        self.shards.with(team, |shard| {
            shard.set_usage(team, self.quotas.add_usage(team, resources));
        });
    }

    /// Counts resources as no longer used by a team. Costs O(log teams).
    pub fn subtract_usage(&self, team: &TeamName, resources: &Resources) {
        self.shards.with(team, |shard| {
            shard.set_usage(team, self.quotas.subtract_usage(team, resources));
        });
    }

    /// Where a job stands. Costs O(older jobs of the same team and class).
    pub fn position(&self, job: JobId) -> Option<QueuePosition> {
        let team = self
            .directory
            .with(&job, |directory| directory.get(&job).cloned())?;
        let (class, team_jobs_ahead, usage, queued) =
            self.shards.with(&team, |shard| shard.place_of(job))?;
        let load = self.load();
        Some(QueuePosition {
            class,
            higher_class_jobs: load[..class as usize].iter().map(|(count, _)| count).sum(),
            same_class_jobs: load[class as usize].0,
            team_jobs_ahead,
            team_usage_percent: usage.share() / 10_000,
            at_ceiling: !usage.ceiling_allows(&queued.minimum_to_start()),
            latest_start: queued.latest_start(),
        })
    }

    /// Time that a new job of a class waits if the whole capacity works off what is ahead of it.
    ///
    /// A lower bound: running work and fragmentation add to it.
    pub fn expected_wait(&self, class: Class, capacity: &Resources) -> Millis {
        let load = self.load();
        let work = load[..=class as usize]
            .iter()
            .map(|(_, work)| work)
            .sum::<u128>();
        let wait = work / u128::from(capacity.cpu_milli.max(1));
        Millis(u64::try_from(wait).unwrap_or(u64::MAX))
    }

    /// Jobs that are expected to miss their deadline, each reported once, at most `limit` a call.
    pub fn deadline_warnings(
        &self,
        now: Millis,
        capacity: &Resources,
        limit: usize,
    ) -> Vec<DeadlineWarning> {
        let expected = Class::ALL.map(|class| now + self.expected_wait(class, capacity));
        let mut warnings = Vec::new();
        self.shards.for_each(|shard| {
            for class in Class::ALL {
                shard.warn(class, expected[class as usize], limit, &mut warnings);
            }
        });
        warnings
    }

    fn load(&self) -> [(usize, u128); Class::ALL.len()] {
        let mut load = [(0, 0); Class::ALL.len()];
        self.shards.for_each(|shard| {
            for class in Class::ALL {
                let (count, work) = shard.class_load(class);
                load[class as usize].0 += count;
                load[class as usize].1 += work;
            }
        });
        load
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
