use derive_more::Display;
use serde::{Deserialize, Serialize};

/// State of a job as its caller sees it.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, PartialEq, Serialize)]
#[display(rename_all = "lowercase")]
pub enum JobPhase {
    /// No task was started yet.
    Pending,
    /// A task was started.
    Running,
    /// All tasks are done.
    Completed,
    /// A task has failed too often.
    Failed,
    /// The caller cancelled it.
    Cancelled,
}

impl JobPhase {
    /// Tells whether the job has ended.
    pub fn is_final(self) -> bool {
        !matches!(self, Self::Pending | Self::Running)
    }
}
