use tarragon_names::{Attempt, TaskId};

use crate::{TaskSpec, WorkerReport};

/// Output of the worker's side, to be carried out in order before the next event is handed in.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum GuardAction {
    /// Send a report; it may be lost.
    Send(WorkerReport),
    /// Run a task.
    Start {
        /// The task.
        task: TaskId,
        /// The attempt.
        attempt: Attempt,
        /// What to run.
        spec: TaskSpec,
    },
    /// End a task at once. An attempt that ends by this reports `TaskEnd::Stopped`, except that
    /// no report is due when the lease ended.
    Stop {
        /// The task.
        task: TaskId,
        /// The attempt.
        attempt: Attempt,
    },
    /// Limit the processor time of a task.
    Throttle {
        /// The task.
        task: TaskId,
        /// The attempt.
        attempt: Attempt,
        /// Processor time allowed, in thousandths of a core.
        cpu_milli: u64,
    },
    /// Save the state of a task and end it.
    Checkpoint {
        /// The task.
        task: TaskId,
        /// The attempt.
        attempt: Attempt,
    },
    /// Connect to another gateway.
    SwitchGateway,
}
