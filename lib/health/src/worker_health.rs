use std::collections::BTreeSet;

use tarragon_names::{JobId, Millis};

/// Failures and successes of one worker.
#[derive(Debug, Default)]
pub(crate) struct WorkerHealth {
    /// Jobs that failed quickly on this worker and on no other, since the last success here.
    pub(crate) suspicious_failures: BTreeSet<JobId>,
    /// Distinct jobs that failed here since the last success, also if they failed elsewhere; at
    /// most `MAX_RECENT_FAILURES`.
    pub(crate) recent_failures: BTreeSet<JobId>,
    /// The last two distinct jobs that succeeded here, latest first.
    ///
    /// Two are enough to determine whether a job other than a given one succeeded here.
    pub(crate) recent_successes: [Option<JobId>; 2],
    pub(crate) quarantine: Option<Quarantine>,
}

/// Maximum number of other jobs that may have failed on a worker since its last success for that
/// success to count as evidence against a job.
const MAX_OTHER_FAILURES: usize = 1;
/// Enough failures to determine whether more than `MAX_OTHER_FAILURES` jobs failed besides the job
/// in question.
const MAX_RECENT_FAILURES: usize = MAX_OTHER_FAILURES + 2;

/// State of a quarantined worker.
#[derive(Clone, Debug)]
pub(crate) struct Quarantine {
    /// Jobs that led to the quarantine and have failed on no other worker since.
    pub(crate) evidence: BTreeSet<JobId>,
    /// Time at which the next probe is due.
    pub(crate) probe_at: Millis,
    /// Delay before the next probe, doubled after each failed one.
    pub(crate) probe_delay: Millis,
    /// Whether a probe was taken whose outcome is not known yet.
    pub(crate) is_probing: bool,
}

impl WorkerHealth {
    pub(crate) fn record_success(&mut self, job: JobId) {
        self.suspicious_failures.clear();
        self.recent_failures.clear();
        if self.recent_successes[0] != Some(job) {
            self.recent_successes = [Some(job), self.recent_successes[0]];
        }
    }

    pub(crate) fn record_failure(&mut self, job: JobId) {
        if self.recent_failures.len() < MAX_RECENT_FAILURES {
            self.recent_failures.insert(job);
        }
    }

    /// Withdraws a job that failed on another worker too from the evidence against this one. Returns
    /// whether that was the last evidence.
    pub(crate) fn withdraw(&mut self, job: JobId) -> bool {
        let evidence = match &mut self.quarantine {
            Some(quarantine) => &mut quarantine.evidence,
            None => &mut self.suspicious_failures,
        };
        evidence.remove(&job) && evidence.is_empty()
    }

    /// Returns whether jobs other than `job` succeed here.
    ///
    /// The worker may have become faulty after a success, so the success no longer counts once
    /// several other jobs have failed after it.
    pub(crate) fn others_succeed(&self, job: JobId) -> bool {
        let others = self.recent_failures.iter().filter(|other| **other != job);
        others.count() <= MAX_OTHER_FAILURES
            && self
                .recent_successes
                .iter()
                .flatten()
                .any(|other| *other != job)
    }
}
