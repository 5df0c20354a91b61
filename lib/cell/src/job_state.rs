use derive_more::Display;
use serde::{Deserialize, Serialize};

/// State of a job as it is told to callers.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum JobState {
    /// Accepted; no task runs.
    #[display("queued")]
    Queued,
    /// At least one task was given to a worker.
    #[display("running")]
    Running,
    /// Cancelled, but a task may still run.
    #[display("cancelling")]
    Cancelling,
    /// All tasks ran to their end.
    #[display("ran")]
    Ran,
    /// Began and was ended by a cancellation.
    #[display("stopped")]
    Stopped,
    /// Was not run and never will be.
    #[display("not_run")]
    NotRun,
    /// Not known yet.
    #[display("unknown")]
    Unknown,
}
