use derive_more::Display;
use serde::{Deserialize, Serialize};
use tarragon_codes::Failure;
use tarragon_names::{Attempt, Class, JobId, JobName, TeamName, WorkerName, Workload};

use crate::Ended;

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

/// State of a task.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskState {
    /// Waits for a worker.
    Waiting,
    /// Given to a worker.
    Assigned(WorkerName),
    /// Ended for good.
    Ended(Ended),
}

/// A task as it is told to callers.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TaskView {
    /// Position within the job.
    pub index: u32,
    /// Attempts made so far.
    pub attempt: Attempt,
    /// State.
    pub state: TaskState,
}

/// A job as it is told to callers.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct JobView {
    /// Identifier.
    pub job: JobId,
    /// Name given by the caller.
    pub name: JobName,
    /// Owner by the catalogue at the time of acceptance.
    pub team: TeamName,
    /// Class by the catalogue at the time of acceptance.
    pub class: Class,
    /// Kind of work.
    pub kind: Workload,
    /// State.
    pub state: JobState,
    /// Whether all tasks ended with exit status 0; absent before the end.
    pub success: Option<bool>,
    /// Why the job was refused or failed.
    pub reason: Option<Failure>,
    /// Tasks; empty in lists.
    pub tasks: Vec<TaskView>,
}
