use std::collections::BTreeMap;

use tarragon_workflow::JobKey;

/// Number of tasks in the open occurrences of a job, beside its first one.
const MAX_TASKS_PER_JOB: u64 = 256;

/// Number of tasks in the open occurrences of all jobs, beside the first one of each.
const MAX_TASKS: u64 = 8_192;

/// Number of occurrences of a job that may be open at once, however many tasks they have, while
/// [`MAX_TASKS`] is not reached.
const MIN_OVERLAP: u64 = 4;

/// Shares out how many occurrences of each scheduled job may be open at once. Those that are due and not
/// open wait without cost in memory or time.
#[derive(Debug, Default)]
pub(crate) struct OpenOccurrences {
    /// Tasks in the open occurrences of each job beside its first one, if there are any.
    by_job: BTreeMap<JobKey, u64>,
    /// Sum of `by_job`.
    total: u64,
}

impl OpenOccurrences {
    /// Number of occurrences of a job that may be open, each of which has this number of tasks.
    pub(crate) fn limit(&self, job: JobKey, tasks: u64) -> usize {
        let tasks = tasks.max(1);
        let others = self.total - self.by_job.get(&job).copied().unwrap_or_default();
        let wanted = (MAX_TASKS_PER_JOB / tasks).max(MIN_OVERLAP - 1);
        let room = MAX_TASKS.saturating_sub(others) / tasks;
        1 + wanted.min(room) as usize
    }

    /// Returns whether a job may have fewer occurrences open than it might have beside no other one.
    pub(crate) fn is_crowded(&self, job: JobKey, tasks: u64) -> bool {
        self.limit(job, tasks) < Self::default().limit(job, tasks)
    }

    /// Records the number of open occurrences of a job.
    pub(crate) fn record(&mut self, job: JobKey, occurrences: usize, tasks: u64) {
        let tasks = tasks.saturating_mul(occurrences.saturating_sub(1) as u64);
        let previous = if tasks == 0 {
            self.by_job.remove(&job)
        } else {
            self.by_job.insert(job, tasks)
        };
        self.total = self.total - previous.unwrap_or_default() + tasks;
    }

    pub(crate) fn clear(&mut self) {
        *self = Self::default();
    }
}
