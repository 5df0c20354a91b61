use tarragon_names::{Attempt, Resources, TaskId};

use crate::{TaskEnd, WorkerOrder};

/// Input of the worker's side.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum GuardEvent {
    /// Time has passed; sent a few times within each heartbeat period.
    Tick,
    /// An order arrived.
    Order(WorkerOrder),
    /// The link to a gateway was opened anew; the leader should hear of it at once.
    Connected,
    /// The use of a task was measured.
    Usage {
        /// The task.
        task: TaskId,
        /// Resources in use.
        usage: Resources,
    },
    /// An attempt ended by itself, or as ordered by `GuardAction::Stop` or `Checkpoint`.
    Ended {
        /// The task.
        task: TaskId,
        /// The attempt.
        attempt: Attempt,
        /// How it ended.
        end: TaskEnd,
    },
    /// The worker should take no more work.
    Leave,
}
