use std::{
    cmp::Reverse,
    collections::{BTreeSet, BinaryHeap, HashMap, btree_map, btree_set},
    sync::Arc,
};

use tarragon_names::{Class, JobId, Millis, Resources, TeamName};

use crate::{
    DeadlineWarning, QueueConfig, QueuedJob, TeamUsage,
    class_index::ClassIndex,
    rank::{Order, Rank},
    team::Team,
    waiting_job::WaitingJob,
};

/// Limit on the jobs promoted in one call, so that many due promotions do not delay a decision.
const MAX_PROMOTIONS_PER_CALL: usize = 256;

/// Waiting jobs of the teams that belong to one shard.
#[derive(Debug, Default)]
pub(crate) struct TeamShard {
    teams: HashMap<TeamName, Team>,
    jobs: HashMap<JobId, WaitingJob>,
    classes: [ClassIndex; Class::ALL.len()],
    /// Jobs that can still be promoted, by the time of their next promotion.
    by_promotion_time: BTreeSet<(Millis, JobId)>,
    /// Jobs with a deadline for which no warning has been returned, by class before ageing and by
    /// latest start.
    unwarned: [BTreeSet<(Millis, JobId)>; Class::ALL.len()],
}

impl TeamShard {
    pub(crate) fn team_jobs(&self, team: &TeamName) -> usize {
        self.teams.get(team).map_or(0, |team| team.waiting_jobs)
    }

    pub(crate) fn push(&mut self, job: QueuedJob, usage: TeamUsage, cfg: &QueueConfig) {
        let job = Arc::new(job);
        let class = job.class;
        let promotes_at =
            (class != Class::Urgent).then(|| job.accepted_at + cfg.promotion_delay(class));
        if let Some(promotes_at) = promotes_at {
            self.by_promotion_time.insert((promotes_at, job.job));
        }
        if let Some(start) = job.latest_start() {
            self.unwarned[class as usize].insert((start, job.job));
        }
        self.teams
            .entry(job.team.clone())
            .or_insert_with(|| Team {
                usage,
                queues: Default::default(),
                waiting_jobs: 0,
            })
            .waiting_jobs += 1;
        self.add_to_indexes(&job, class);
        self.jobs.insert(
            job.job,
            WaitingJob {
                job,
                class,
                promotes_at,
            },
        );
    }

    pub(crate) fn remove(&mut self, job: JobId) -> Option<Arc<QueuedJob>> {
        let WaitingJob {
            job,
            class,
            promotes_at,
        } = self.jobs.remove(&job)?;
        self.remove_from_indexes(&job, class);
        if let Some(promotes_at) = promotes_at {
            self.by_promotion_time.remove(&(promotes_at, job.job));
        }
        if let Some(start) = job.latest_start() {
            self.unwarned[job.class as usize].remove(&(start, job.job));
        }
        if let Some(team) = self.teams.get_mut(&job.team) {
            team.waiting_jobs -= 1;
            if team.waiting_jobs == 0 {
                self.teams.remove(&job.team);
            }
        }
        Some(job)
    }

    /// Reorders a team by its new usage or quota.
    pub(crate) fn set_usage(&mut self, name: &TeamName, usage: TeamUsage) {
        let Some(team) = self.teams.get_mut(name) else {
            return;
        };
        let (old, new) = (team.usage.dominant_share(), usage.dominant_share());
        team.usage = usage;
        if old == new {
            return;
        }
        for index in &mut self.classes {
            if index.by_share.remove(&(old, name.clone())) {
                index.by_share.insert((new, name.clone()));
            }
        }
    }

    fn add_to_indexes(&mut self, job: &Arc<QueuedJob>, class: Class) {
        let Some(team) = self.teams.get_mut(&job.team) else {
            return;
        };
        let queue = &mut team.queues[class as usize];
        let index = &mut self.classes[class as usize];
        let old_latest_start = queue.first_latest_start();
        queue.insert(job);
        index
            .by_share
            .insert((team.usage.dominant_share(), job.team.clone()));
        index.update_latest_start(&job.team, old_latest_start, queue.first_latest_start());
        index.waiting_jobs += 1;
        index.work += job.work();
    }

    fn remove_from_indexes(&mut self, job: &QueuedJob, class: Class) {
        let Some(team) = self.teams.get_mut(&job.team) else {
            return;
        };
        let queue = &mut team.queues[class as usize];
        let index = &mut self.classes[class as usize];
        let old_latest_start = queue.first_latest_start();
        queue.remove(job);
        if queue.by_acceptance.is_empty() {
            index
                .by_share
                .remove(&(team.usage.dominant_share(), job.team.clone()));
        }
        index.update_latest_start(&job.team, old_latest_start, queue.first_latest_start());
        index.waiting_jobs -= 1;
        index.work -= job.work();
    }

    /// Promotes the jobs that have waited for the promotion delay of their class.
    pub(crate) fn promote_aged(&mut self, now: Millis, cfg: &QueueConfig) {
        for _ in 0..MAX_PROMOTIONS_PER_CALL {
            let Some(&(due, id)) = self.by_promotion_time.first() else {
                return;
            };
            if due > now {
                return;
            }
            self.by_promotion_time.pop_first();
            let Some(waiting) = self.jobs.get_mut(&id) else {
                continue;
            };
            let old = waiting.class;
            let new = match old {
                Class::Overnight => Class::Standard,
                Class::Standard | Class::Urgent => Class::Urgent,
            };
            waiting.class = new;
            waiting.promotes_at = (new != Class::Urgent).then(|| due + cfg.promotion_delay(new));
            if let Some(promotes_at) = waiting.promotes_at {
                self.by_promotion_time.insert((promotes_at, id));
            }
            let job = Arc::clone(&waiting.job);
            self.remove_from_indexes(&job, old);
            self.add_to_indexes(&job, new);
        }
    }

    /// Adds the first `limit` jobs of this shard to `out`.
    ///
    /// The rest of a team's jobs is skipped at the first one that the team's ceiling does not allow,
    /// so a team at its ceiling costs one check.
    pub(crate) fn candidates(
        &self,
        now: Millis,
        cfg: &QueueConfig,
        limit: usize,
        out: &mut Vec<(Rank, Arc<QueuedJob>)>,
    ) {
        let mut left = limit;
        for class in Class::ALL {
            let cutoff = now + cfg.deadline_slack;
            self.add_deadline_jobs(class, cutoff, &mut left, out);
            self.add_fair_share_jobs(class, cutoff, &mut left, out);
            if left == 0 {
                return;
            }
        }
    }

    /// Lists the jobs whose latest start is at most `cutoff`, merged over the teams.
    fn add_deadline_jobs(
        &self,
        class: Class,
        cutoff: Millis,
        left: &mut usize,
        out: &mut Vec<(Rank, Arc<QueuedJob>)>,
    ) {
        let mut cursors: HashMap<&TeamName, (btree_set::Iter<'_, _>, Resources)> = HashMap::new();
        let mut next = BinaryHeap::new();
        let mut teams = self.classes[class as usize]
            .by_latest_start
            .iter()
            .peekable();
        while *left > 0 {
            while let Some((start, team)) = teams.peek()
                && *start <= cutoff
                && next
                    .peek()
                    .is_none_or(|Reverse((head, _, _))| start <= head)
            {
                let mut jobs = self.teams[team].queues[class as usize]
                    .by_latest_start
                    .iter();
                if let Some((start, job)) = jobs.next() {
                    next.push(Reverse((*start, *job, team)));
                }
                cursors.insert(team, (jobs, Resources::ZERO));
                teams.next();
            }
            let Some(Reverse((start, job, team))) = next.pop() else {
                return;
            };
            let (Some((jobs, ahead)), Some(waiting)) = (cursors.get_mut(team), self.jobs.get(&job))
            else {
                continue;
            };
            if !self.teams[team]
                .usage
                .ceiling_allows(&(*ahead + waiting.job.minimum_to_start()))
            {
                continue;
            }
            *ahead += waiting.job.total_resources();
            if let Some((start, job)) = jobs.next()
                && *start <= cutoff
            {
                next.push(Reverse((*start, *job, team)));
            }
            out.push((
                Rank {
                    class,
                    order: Order::Deadline(start),
                    accepted_at: waiting.job.accepted_at,
                    job,
                },
                Arc::clone(&waiting.job),
            ));
            *left -= 1;
        }
    }

    /// Lists the other jobs. The share of a team grows with each of its jobs that is listed.
    fn add_fair_share_jobs(
        &self,
        class: Class,
        cutoff: Millis,
        left: &mut usize,
        out: &mut Vec<(Rank, Arc<QueuedJob>)>,
    ) {
        type JobsByAcceptance<'a> = btree_map::Iter<'a, (Millis, JobId), Arc<QueuedJob>>;
        let mut cursors: HashMap<&TeamName, (JobsByAcceptance<'_>, Resources)> = HashMap::new();
        let mut next = BinaryHeap::new();
        let mut teams = self.classes[class as usize].by_share.iter().peekable();
        let must_start_soon =
            |job: &QueuedJob| job.latest_start().is_some_and(|start| start <= cutoff);
        while *left > 0 {
            while let Some((share, team)) = teams.peek()
                && next
                    .peek()
                    .is_none_or(|Reverse((head, _, _))| share <= head)
            {
                let mut jobs = self.teams[team].queues[class as usize].by_acceptance.iter();
                if let Some((key, _)) = jobs.find(|(_, job)| !must_start_soon(job)) {
                    next.push(Reverse((*share, *key, team)));
                }
                cursors.insert(team, (jobs, Resources::ZERO));
                teams.next();
            }
            let Some(Reverse((share, (accepted_at, job), team))) = next.pop() else {
                return;
            };
            let (Some((jobs, ahead)), Some(waiting)) = (cursors.get_mut(team), self.jobs.get(&job))
            else {
                continue;
            };
            let usage = &self.teams[team].usage;
            if !usage.ceiling_allows(&(*ahead + waiting.job.minimum_to_start())) {
                continue;
            }
            *ahead += waiting.job.total_resources();
            if let Some((key, _)) = jobs.find(|(_, job)| !must_start_soon(job)) {
                next.push(Reverse((usage.dominant_share_with(ahead), *key, team)));
            }
            out.push((
                Rank {
                    class,
                    order: Order::FairShare(share),
                    accepted_at,
                    job,
                },
                Arc::clone(&waiting.job),
            ));
            *left -= 1;
        }
    }

    /// Number of waiting jobs of a class and their work.
    pub(crate) fn class_load(&self, class: Class) -> (usize, u128) {
        let index = &self.classes[class as usize];
        (index.waiting_jobs, index.work)
    }

    /// Class after ageing, number of older jobs of the same team and class, usage of the team, and
    /// the job.
    pub(crate) fn position_of(
        &self,
        job: JobId,
    ) -> Option<(Class, usize, TeamUsage, Arc<QueuedJob>)> {
        let waiting = self.jobs.get(&job)?;
        let team = self.teams.get(&waiting.job.team)?;
        let ahead = team.queues[waiting.class as usize]
            .by_acceptance
            .range(..(waiting.job.accepted_at, job))
            .count();
        Some((waiting.class, ahead, team.usage, Arc::clone(&waiting.job)))
    }

    /// Moves jobs of a class whose latest start is before `expected` to `out`, which grows up to
    /// `limit` entries.
    pub(crate) fn take_warnings(
        &mut self,
        class: Class,
        expected: Millis,
        limit: usize,
        out: &mut Vec<DeadlineWarning>,
    ) {
        let unwarned = &mut self.unwarned[class as usize];
        while out.len() < limit
            && let Some(&(start, id)) = unwarned.first()
            && start < expected
        {
            unwarned.pop_first();
            if let Some(deadline) = self.jobs.get(&id).and_then(|waiting| waiting.job.deadline) {
                out.push(DeadlineWarning {
                    job: id,
                    deadline,
                    expected_start: expected,
                });
            }
        }
    }
}
