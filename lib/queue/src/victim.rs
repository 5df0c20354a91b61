use tarragon_names::{Class, Millis, Resources, TaskId, WorkerName, Workload};

/// A running task that may have to give way.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Victim {
    /// The task.
    pub task: TaskId,
    /// Worker that runs it.
    pub worker: WorkerName,
    /// Class of its job.
    pub class: Class,
    /// Whether its team uses more than its guarantee.
    pub borrows: bool,
    /// Kind of work.
    pub workload: Workload,
    /// What it holds.
    pub resources: Resources,
    /// Time that it has run since its start or its last checkpoint.
    pub elapsed: Millis,
    /// Time that it is expected to run on.
    pub remaining: Millis,
    /// Whether it can write a checkpoint.
    pub can_checkpoint: bool,
}
