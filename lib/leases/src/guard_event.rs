use tarragon_names::{Attempt, Resources, TaskId};

use crate::{TaskEnd, WorkerOrder};

/// Input of a [`LeaseGuard`](crate::LeaseGuard).
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum GuardEvent {
    /// Time has passed; the caller passes this in several times per heartbeat interval.
    Tick,
    /// An order from the leader arrived.
    Order(WorkerOrder),
    /// A new connection to a gateway was opened; a report is sent at once.
    Connected,
    /// The resource usage of a task was measured.
    Usage {
        /// Task that was measured.
        task: TaskId,
        /// Resources in use.
        usage: Resources,
    },
    /// An attempt ended, either by itself or because of `GuardAction::Stop` or `Checkpoint`.
    Ended {
        /// Task that the attempt belongs to.
        task: TaskId,
        /// Number of the attempt.
        attempt: Attempt,
        /// Outcome of the attempt.
        end: TaskEnd,
    },
    /// The worker should get no new tasks, because it is about to leave.
    Leave,
}
