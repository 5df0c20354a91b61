use std::collections::BTreeSet;

use tarragon_names::{JobId, Millis};

/// What is known of one worker.
#[derive(Debug, Default)]
pub(crate) struct WorkerHealth {
    /// Jobs that failed quickly here, and nowhere else, since the last success here.
    pub(crate) failed_jobs: BTreeSet<JobId>,
    /// The last two distinct jobs that succeeded here.
    ///
    /// Two are enough to answer whether a job other than a given one succeeded here.
    pub(crate) succeeded: [Option<JobId>; 2],
    pub(crate) quarantine: Option<Quarantine>,
}

/// State of a quarantined worker.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Quarantine {
    pub(crate) probe_at: Millis,
    pub(crate) backoff: Millis,
    /// Whether a probe was handed out whose outcome is not known yet.
    pub(crate) probing: bool,
}

impl WorkerHealth {
    pub(crate) fn note_success(&mut self, job: JobId) {
        self.failed_jobs.clear();
        if self.succeeded[0] != Some(job) {
            self.succeeded = [Some(job), self.succeeded[0]];
        }
    }

    /// Tells whether a job other than `job` succeeded here since the last quarantine.
    pub(crate) fn others_succeed(&self, job: JobId) -> bool {
        self.succeeded.iter().flatten().any(|other| *other != job)
    }
}
