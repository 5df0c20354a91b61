use tarragon_names::{TaskId, WorkerName};

/// An order that makes room for a more urgent job.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PreemptAction {
    /// Task that gives way.
    pub task: TaskId,
    /// Worker that runs it.
    pub worker: WorkerName,
    /// How it gives way.
    pub method: PreemptMethod,
}

/// How a task gives way.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PreemptMethod {
    /// It keeps running with half of its processor time.
    Throttle,
    /// It writes a checkpoint, ends and waits again.
    Checkpoint,
    /// It ends and starts from the beginning later.
    Stop,
}
