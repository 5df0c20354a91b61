use std::collections::BTreeMap;

use crate::{Job, JobKey};

/// Jobs of one shard, with the number of tasks whose progress they may hold.
#[derive(Debug, Default)]
pub(crate) struct JobTable {
    jobs: BTreeMap<JobKey, Job>,
    /// Sum of [`Job::held_tasks`].
    held_tasks: u64,
}

impl JobTable {
    pub(crate) fn len(&self) -> usize {
        self.jobs.len()
    }

    pub(crate) fn held_tasks(&self) -> u64 {
        self.held_tasks
    }

    pub(crate) fn contains(&self, key: JobKey) -> bool {
        self.jobs.contains_key(&key)
    }

    pub(crate) fn get(&self, key: JobKey) -> Option<&Job> {
        self.jobs.get(&key)
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = &Job> {
        self.jobs.values()
    }

    pub(crate) fn insert(&mut self, job: Job) {
        self.held_tasks += job.held_tasks();
        if let Some(replaced) = self.jobs.insert(job.key, job) {
            self.held_tasks -= replaced.held_tasks();
        }
    }

    /// Calls `f` on a job; None if the job is unknown.
    pub(crate) fn update<F, R>(&mut self, key: JobKey, f: F) -> Option<R>
    where
        F: FnOnce(&mut Job) -> R,
    {
        let job = self.jobs.get_mut(&key)?;
        let before = job.held_tasks();
        let result = f(job);
        self.held_tasks = self.held_tasks - before + job.held_tasks();
        Some(result)
    }

    /// Drops the jobs for which `f` returns false.
    pub(crate) fn retain<F>(&mut self, f: F)
    where
        F: Fn(&Job) -> bool,
    {
        let held_tasks = &mut self.held_tasks;
        self.jobs.retain(|_, job| {
            let is_retained = f(job);
            if !is_retained {
                *held_tasks -= job.held_tasks();
            }
            is_retained
        });
    }

    pub(crate) fn clear(&mut self) {
        *self = Self::default();
    }
}
