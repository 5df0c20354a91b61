use tarragon_names::{Attempt, Resources, TaskId};

/// A task that runs on a worker, as the worker reports it.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct RunningTask {
    /// The task.
    pub task: TaskId,
    /// The attempt that runs.
    pub attempt: Attempt,
    /// Resources in use, measured some time before the report.
    pub usage: Resources,
}
