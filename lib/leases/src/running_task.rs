use tarragon_names::{Attempt, Resources, TaskId};

/// Report of a worker on a task that runs there.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct RunningTask {
    /// Task that runs.
    pub task: TaskId,
    /// Number of the attempt that runs.
    pub attempt: Attempt,
    /// Last measured resource usage; zero before the first measurement.
    pub usage: Resources,
}
