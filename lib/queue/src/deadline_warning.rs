use tarragon_names::{JobId, Millis};

/// A job that is expected to miss its deadline.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct DeadlineWarning {
    /// The job.
    pub job: JobId,
    /// Its deadline.
    pub deadline: Millis,
    /// Time at which it is expected to start.
    pub expected_start: Millis,
}
