use derive_more::Display;
use serde::{Deserialize, Serialize};

/// State of a job as reported to its caller.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, PartialEq, Serialize)]
#[display(rename_all = "lowercase")]
pub enum JobPhase {
    /// No task has been placed yet.
    Pending,
    /// At least one task has been placed.
    Running,
    /// All tasks of all occurrences are done.
    Completed,
    /// A task or gang reached the maximum number of failed attempts.
    Failed,
    /// The caller cancelled the job.
    Cancelled,
}

impl JobPhase {
    /// Returns whether the job has ended.
    pub fn is_final(self) -> bool {
        !matches!(self, Self::Pending | Self::Running)
    }
}
