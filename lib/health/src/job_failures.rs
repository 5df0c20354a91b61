use tarragon_names::{Millis, WorkerName};

/// Failures of one job.
#[derive(Debug, Default)]
pub(crate) struct JobFailures {
    /// Distinct workers that the job failed on, in the order of its first failure there.
    pub(crate) workers: Vec<WorkerName>,
    pub(crate) last: Millis,
    pub(crate) held: bool,
}
