use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use tarragon_names::{JobId, Millis};

use crate::QueuedJob;

/// Waiting jobs of one team in one class.
#[derive(Debug, Default)]
pub(crate) struct TeamQueue {
    /// All jobs, by time of acceptance.
    pub(crate) by_acceptance: BTreeMap<(Millis, JobId), Arc<QueuedJob>>,
    /// Jobs with a deadline, by latest start.
    pub(crate) by_latest_start: BTreeSet<(Millis, JobId)>,
}

impl TeamQueue {
    pub(crate) fn insert(&mut self, job: &Arc<QueuedJob>) {
        self.by_acceptance
            .insert((job.accepted_at, job.job), Arc::clone(job));
        if let Some(start) = job.latest_start() {
            self.by_latest_start.insert((start, job.job));
        }
    }

    pub(crate) fn remove(&mut self, job: &QueuedJob) {
        self.by_acceptance.remove(&(job.accepted_at, job.job));
        if let Some(start) = job.latest_start() {
            self.by_latest_start.remove(&(start, job.job));
        }
    }

    /// Earliest latest start among the jobs with a deadline.
    pub(crate) fn first_latest_start(&self) -> Option<Millis> {
        self.by_latest_start.first().map(|(start, _)| *start)
    }
}
