use tarragon_names::{TaskId, WorkerName};

/// Preemption of one running task.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PreemptAction {
    /// Task that is preempted.
    pub task: TaskId,
    /// Worker that runs the task.
    pub worker: WorkerName,
    /// How the task frees its resources.
    pub method: PreemptMethod,
}

/// How a preempted task frees resources.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PreemptMethod {
    /// The task keeps running with half of its processor time.
    Throttle,
    /// The task writes a checkpoint, ends and returns to the queue.
    Checkpoint,
    /// The task ends without a checkpoint and later restarts from the beginning.
    Stop,
}
