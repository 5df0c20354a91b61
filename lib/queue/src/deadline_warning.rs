use tarragon_names::{JobId, Millis};

/// A job that is expected to miss its deadline.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct DeadlineWarning {
    /// Identity of the job.
    pub job: JobId,
    /// Time by which the job should end.
    pub deadline: Millis,
    /// Expected start, which is after the latest start that meets the deadline.
    pub expected_start: Millis,
}
