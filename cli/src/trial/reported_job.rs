use tarragon_cell::JobView;
use tarragon_codes::Failure;
use tarragon_names::{IdempotencyKey, JobId, JobName};

/// A job as reported to its caller.
#[derive(Clone, Debug)]
pub struct ReportedJob {
    /// Name under which the job was submitted.
    pub name: JobName,
    /// Idempotency key of the submission.
    pub key: IdempotencyKey,
    /// Wall clock of the submission in milliseconds.
    pub submitted: u64,
    /// Id of the accepted job, or the failure of the submission.
    pub accepted: Result<JobId, Failure>,
    /// Last status of the job that its caller received.
    pub last: Result<JobView, Failure>,
}
