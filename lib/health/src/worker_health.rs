use std::collections::BTreeSet;

use tarragon_names::{JobId, Millis};

/// What is known of one worker.
#[derive(Debug, Default)]
pub(crate) struct WorkerHealth {
    /// Jobs that failed quickly here, and nowhere else, since the last success here.
    pub(crate) failed_jobs: BTreeSet<JobId>,
    /// Distinct jobs that failed here since the last success, whatever they did elsewhere; at most
    /// `FAILURES_KEPT`.
    pub(crate) failed_since: BTreeSet<JobId>,
    /// The last two distinct jobs that succeeded here.
    ///
    /// Two are enough to answer whether a job other than a given one succeeded here.
    pub(crate) succeeded: [Option<JobId>; 2],
    pub(crate) quarantine: Option<Quarantine>,
}

/// Other jobs that may fail on a worker before it no longer speaks against a job.
const OTHERS_FAILED: usize = 1;
/// Enough to tell `OTHERS_FAILED` from more, beside the job that is asked about.
const FAILURES_KEPT: usize = OTHERS_FAILED + 2;

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
        self.failed_since.clear();
        if self.succeeded[0] != Some(job) {
            self.succeeded = [Some(job), self.succeeded[0]];
        }
    }

    pub(crate) fn note_failure(&mut self, job: JobId) {
        if self.failed_since.len() < FAILURES_KEPT {
            self.failed_since.insert(job);
        }
    }

    /// Tells whether other jobs than `job` succeed here.
    ///
    /// A success from before the worker went bad says nothing, so it is void once several other
    /// jobs failed after it.
    pub(crate) fn others_succeed(&self, job: JobId) -> bool {
        let others = self.failed_since.iter().filter(|other| **other != job);
        others.count() <= OTHERS_FAILED
            && self.succeeded.iter().flatten().any(|other| *other != job)
    }
}
