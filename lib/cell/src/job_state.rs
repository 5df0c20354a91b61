use derive_more::Display;
use serde::{Deserialize, Serialize};

/// State of a job as reported to callers.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum JobState {
    /// Accepted or waiting for a new attempt; no task is assigned.
    #[display("queued")]
    Queued,
    /// At least one task is assigned to a worker.
    #[display("running")]
    Running,
    /// Cancelled, refused or failed, but a task is still assigned and may run.
    #[display("cancelling")]
    Cancelling,
    /// All tasks exited, or the job failed or was refused after a task began.
    #[display("ran")]
    Ran,
    /// Cancelled after a task began and before all tasks exited.
    #[display("stopped")]
    Stopped,
    /// Ended without any task having begun.
    #[display("not_run")]
    NotRun,
    /// An attempt was lost, so the outcome is unknown unless its worker reports the end later.
    #[display("unknown")]
    Unknown,
}
