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
    waiting::Waiting,
};

/// Most jobs that one call raises by a class, so that a decision never waits for a long ageing run.
const PROMOTIONS: usize = 256;

/// Waiting jobs of the teams that belong to one shard.
#[derive(Debug, Default)]
pub(crate) struct TeamShard {
    teams: HashMap<TeamName, Team>,
    jobs: HashMap<JobId, Waiting>,
    classes: [ClassIndex; Class::ALL.len()],
    /// Jobs that rise by one class at this time.
    ageing: BTreeSet<(Millis, JobId)>,
    /// Jobs with a deadline that no warning was given for, by own class and latest start.
    unwarned: [BTreeSet<(Millis, JobId)>; Class::ALL.len()],
}

impl TeamShard {
    pub(crate) fn team_waiting(&self, team: &TeamName) -> usize {
        self.teams.get(team).map_or(0, |team| team.waiting)
    }

    pub(crate) fn push(&mut self, job: QueuedJob, usage: TeamUsage, cfg: &QueueConfig) {
        let job = Arc::new(job);
        let class = job.class;
        let rises = (class != Class::Urgent).then(|| job.accepted_at + cfg.promotion_delay(class));
        if let Some(rises) = rises {
            self.ageing.insert((rises, job.job));
        }
        if let Some(start) = job.latest_start() {
            self.unwarned[class as usize].insert((start, job.job));
        }
        self.teams
            .entry(job.team.clone())
            .or_insert_with(|| Team {
                usage,
                lanes: Default::default(),
                waiting: 0,
            })
            .waiting += 1;
        self.insert(&job, class);
        self.jobs.insert(job.job, Waiting { job, class, rises });
    }

    pub(crate) fn remove(&mut self, job: JobId) -> Option<Arc<QueuedJob>> {
        let Waiting { job, class, rises } = self.jobs.remove(&job)?;
        self.take_out(&job, class);
        if let Some(rises) = rises {
            self.ageing.remove(&(rises, job.job));
        }
        if let Some(start) = job.latest_start() {
            self.unwarned[job.class as usize].remove(&(start, job.job));
        }
        if let Some(team) = self.teams.get_mut(&job.team) {
            team.waiting -= 1;
            if team.waiting == 0 {
                self.teams.remove(&job.team);
            }
        }
        Some(job)
    }

    /// Moves a team to its place for a new use or quota.
    pub(crate) fn set_usage(&mut self, name: &TeamName, usage: TeamUsage) {
        let Some(team) = self.teams.get_mut(name) else {
            return;
        };
        let (old, new) = (team.usage.share(), usage.share());
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

    fn insert(&mut self, job: &Arc<QueuedJob>, class: Class) {
        let Some(team) = self.teams.get_mut(&job.team) else {
            return;
        };
        let lane = &mut team.lanes[class as usize];
        let index = &mut self.classes[class as usize];
        let old_start = lane.first_start();
        lane.insert(job);
        index
            .by_share
            .insert((team.usage.share(), job.team.clone()));
        index.move_start(&job.team, old_start, lane.first_start());
        index.waiting += 1;
        index.work += job.work();
    }

    fn take_out(&mut self, job: &QueuedJob, class: Class) {
        let Some(team) = self.teams.get_mut(&job.team) else {
            return;
        };
        let lane = &mut team.lanes[class as usize];
        let index = &mut self.classes[class as usize];
        let old_start = lane.first_start();
        lane.remove(job);
        if lane.by_age.is_empty() {
            index
                .by_share
                .remove(&(team.usage.share(), job.team.clone()));
        }
        index.move_start(&job.team, old_start, lane.first_start());
        index.waiting -= 1;
        index.work -= job.work();
    }

    /// Raises the jobs that have waited for their class's step.
    pub(crate) fn age(&mut self, now: Millis, cfg: &QueueConfig) {
        for _ in 0..PROMOTIONS {
            let Some(&(due, id)) = self.ageing.first() else {
                return;
            };
            if due > now {
                return;
            }
            self.ageing.pop_first();
            let Some(waiting) = self.jobs.get_mut(&id) else {
                continue;
            };
            let old = waiting.class;
            let new = match old {
                Class::Overnight => Class::Standard,
                Class::Standard | Class::Urgent => Class::Urgent,
            };
            waiting.class = new;
            waiting.rises = (new != Class::Urgent).then(|| due + cfg.promotion_delay(new));
            if let Some(rises) = waiting.rises {
                self.ageing.insert((rises, id));
            }
            let job = Arc::clone(&waiting.job);
            self.take_out(&job, old);
            self.insert(&job, new);
        }
    }

    /// Adds the first `limit` jobs of this shard to `out`.
    ///
    /// A team at its ceiling is passed over as a whole, so its jobs cost one look.
    pub(crate) fn candidates(
        &self,
        now: Millis,
        cfg: &QueueConfig,
        limit: usize,
        out: &mut Vec<(Rank, Arc<QueuedJob>)>,
    ) {
        let mut left = limit;
        for class in Class::ALL {
            let tight = now + cfg.deadline_slack;
            self.tight(class, tight, &mut left, out);
            self.fair(class, tight, &mut left, out);
            if left == 0 {
                return;
            }
        }
    }

    /// Jobs whose latest start is at most `until`, merged over teams.
    fn tight(
        &self,
        class: Class,
        until: Millis,
        left: &mut usize,
        out: &mut Vec<(Rank, Arc<QueuedJob>)>,
    ) {
        let mut lanes: HashMap<&TeamName, (btree_set::Iter<'_, _>, Resources)> = HashMap::new();
        let mut next = BinaryHeap::new();
        let mut teams = self.classes[class as usize].by_start.iter().peekable();
        while *left > 0 {
            while let Some((start, team)) = teams.peek()
                && *start <= until
                && next
                    .peek()
                    .is_none_or(|Reverse((head, _, _))| start <= head)
            {
                let mut lane = self.teams[team].lanes[class as usize].by_start.iter();
                if let Some((start, job)) = lane.next() {
                    next.push(Reverse((*start, *job, team)));
                }
                lanes.insert(team, (lane, Resources::ZERO));
                teams.next();
            }
            let Some(Reverse((start, job, team))) = next.pop() else {
                return;
            };
            let (Some((lane, ahead)), Some(waiting)) = (lanes.get_mut(team), self.jobs.get(&job))
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
            if let Some((start, job)) = lane.next()
                && *start <= until
            {
                next.push(Reverse((*start, *job, team)));
            }
            out.push((
                Rank {
                    class,
                    order: Order::Tight(start),
                    since: waiting.job.accepted_at,
                    job,
                },
                Arc::clone(&waiting.job),
            ));
            *left -= 1;
        }
    }

    /// Jobs that are not tight, each team advancing by the share of its jobs listed so far.
    fn fair(
        &self,
        class: Class,
        deadline_slack: Millis,
        left: &mut usize,
        out: &mut Vec<(Rank, Arc<QueuedJob>)>,
    ) {
        type Lane<'a> = btree_map::Iter<'a, (Millis, JobId), Arc<QueuedJob>>;
        let mut lanes: HashMap<&TeamName, (Lane<'_>, Resources)> = HashMap::new();
        let mut next = BinaryHeap::new();
        let mut teams = self.classes[class as usize].by_share.iter().peekable();
        let is_tight = |job: &QueuedJob| {
            job.latest_start()
                .is_some_and(|start| start <= deadline_slack)
        };
        while *left > 0 {
            while let Some((share, team)) = teams.peek()
                && next
                    .peek()
                    .is_none_or(|Reverse((head, _, _))| share <= head)
            {
                let mut lane = self.teams[team].lanes[class as usize].by_age.iter();
                if let Some((key, _)) = lane.find(|(_, job)| !is_tight(job)) {
                    next.push(Reverse((*share, *key, team)));
                }
                lanes.insert(team, (lane, Resources::ZERO));
                teams.next();
            }
            let Some(Reverse((share, (since, job), team))) = next.pop() else {
                return;
            };
            let (Some((lane, ahead)), Some(waiting)) = (lanes.get_mut(team), self.jobs.get(&job))
            else {
                continue;
            };
            let usage = &self.teams[team].usage;
            if !usage.ceiling_allows(&(*ahead + waiting.job.minimum_to_start())) {
                continue;
            }
            *ahead += waiting.job.total_resources();
            if let Some((key, _)) = lane.find(|(_, job)| !is_tight(job)) {
                next.push(Reverse((usage.share_with(ahead), *key, team)));
            }
            out.push((
                Rank {
                    class,
                    order: Order::Fair(share),
                    since,
                    job,
                },
                Arc::clone(&waiting.job),
            ));
            *left -= 1;
        }
    }

    /// Waiting jobs and work in each class.
    pub(crate) fn class_load(&self, class: Class) -> (usize, u128) {
        let index = &self.classes[class as usize];
        (index.waiting, index.work)
    }

    /// Class after ageing, older jobs of the same team and class, and whether the team is at its
    /// ceiling.
    pub(crate) fn place_of(&self, job: JobId) -> Option<(Class, usize, TeamUsage, Arc<QueuedJob>)> {
        let waiting = self.jobs.get(&job)?;
        let team = self.teams.get(&waiting.job.team)?;
        let ahead = team.lanes[waiting.class as usize]
            .by_age
            .range(..(waiting.job.accepted_at, job))
            .count();
        Some((waiting.class, ahead, team.usage, Arc::clone(&waiting.job)))
    }

    /// Takes out the jobs of a class whose latest start is before `expected`, up to `limit`.
    pub(crate) fn warn(
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
