use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use tarragon_names::{JobId, Millis};

use crate::QueuedJob;

/// Waiting jobs of one team in one class.
#[derive(Debug, Default)]
pub(crate) struct TeamLane {
    pub(crate) by_age: BTreeMap<(Millis, JobId), Arc<QueuedJob>>,
    /// Jobs with a deadline by latest start.
    pub(crate) by_start: BTreeSet<(Millis, JobId)>,
}

impl TeamLane {
    pub(crate) fn insert(&mut self, job: &Arc<QueuedJob>) {
        self.by_age
            .insert((job.accepted_at, job.job), Arc::clone(job));
        if let Some(start) = job.latest_start() {
            self.by_start.insert((start, job.job));
        }
    }

    pub(crate) fn remove(&mut self, job: &QueuedJob) {
        self.by_age.remove(&(job.accepted_at, job.job));
        if let Some(start) = job.latest_start() {
            self.by_start.remove(&(start, job.job));
        }
    }

    pub(crate) fn first_start(&self) -> Option<Millis> {
        self.by_start.first().map(|(start, _)| *start)
    }
}
