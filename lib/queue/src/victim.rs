use tarragon_names::{Class, Millis, Resources, TaskId, WorkerName, Workload};

/// A running task that may be preempted.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Victim {
    /// Identity of the task.
    pub task: TaskId,
    /// Worker that runs the task.
    pub worker: WorkerName,
    /// Class of the task's job.
    pub class: Class,
    /// Whether the task's team uses more than its guaranteed quota.
    pub borrows: bool,
    /// Workload of the task's job; services and all-or-nothing tasks are never preempted.
    pub workload: Workload,
    /// Resources reserved for the task.
    pub resources: Resources,
    /// Run time since the start or the last checkpoint, which a stop without checkpoint loses.
    pub elapsed: Millis,
    /// Expected time until the task ends.
    pub remaining: Millis,
    /// Whether the task can write a checkpoint.
    pub can_checkpoint: bool,
}
