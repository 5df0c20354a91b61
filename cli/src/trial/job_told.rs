use tarragon_cell::JobView;
use tarragon_codes::Failure;
use tarragon_names::{IdempotencyKey, JobId, JobName};

/// A job from its caller's view.
#[derive(Clone, Debug)]
pub struct JobTold {
    /// Name that it was submitted under.
    pub name: JobName,
    /// Idempotency key of the submission.
    pub key: IdempotencyKey,
    /// Wall clock of the submission in milliseconds.
    pub submitted: u64,
    /// Answer to the submission.
    pub accepted: Result<JobId, Failure>,
    /// Last view of the job.
    pub last: Result<JobView, Failure>,
}
