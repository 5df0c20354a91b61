use tarragon_names::{Millis, WorkerName};

/// Failures of one job on the workers.
#[derive(Debug, Default)]
pub(crate) struct JobFailures {
    /// Distinct workers that the job failed on, in the order of the first failure on each.
    pub(crate) workers: Vec<WorkerName>,
    pub(crate) last_failure_at: Millis,
    /// Whether the decision to end the job as failed was made already.
    pub(crate) is_failed: bool,
}
