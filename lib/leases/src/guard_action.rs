use tarragon_names::{Attempt, TaskId};

use crate::{TaskSpec, WorkerReport};

/// Action requested by a [`LeaseGuard`](crate::LeaseGuard).
///
/// The caller carries out the actions in order before it passes in the next event.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum GuardAction {
    /// Send a report to the leader; delivery is not guaranteed.
    Send(WorkerReport),
    /// Start an attempt of a task.
    Start {
        /// Task that the attempt belongs to.
        task: TaskId,
        /// Number of the attempt.
        attempt: Attempt,
        /// Description of the work.
        spec: TaskSpec,
    },
    /// Stop an attempt at once. The caller then passes in the end as `TaskEnd::Stopped`, which is
    /// not needed if the stop was caused by the end of the lease.
    Stop {
        /// Task that the attempt belongs to.
        task: TaskId,
        /// Number of the attempt.
        attempt: Attempt,
    },
    /// Limit the processor time of an attempt.
    Throttle {
        /// Task that the attempt belongs to.
        task: TaskId,
        /// Number of the attempt.
        attempt: Attempt,
        /// Maximum processor time, in thousandths of a core.
        cpu_milli: u64,
    },
    /// Save a checkpoint of an attempt and end it.
    Checkpoint {
        /// Task that the attempt belongs to.
        task: TaskId,
        /// Number of the attempt.
        attempt: Attempt,
    },
    /// Connect to a different gateway.
    SwitchGateway,
}
