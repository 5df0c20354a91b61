use tarragon_names::{Attempt, Fence, Millis, Session, TaskId, Term};

use crate::TaskSpec;

/// Message from the leading host to a worker.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum WorkerOrder {
    /// Grants a session after a registration. The lease starts at `clock`.
    Welcome {
        /// Term of the leader.
        term: Term,
        /// The session granted.
        session: Session,
        /// The worker's own clock reading from its registration.
        clock: Millis,
        /// Length of the lease.
        lease: Millis,
    },
    /// Answers a heartbeat and renews the lease from `clock`.
    HeartbeatReply {
        /// Term of the leader.
        term: Term,
        /// Session that the lease belongs to.
        session: Session,
        /// The worker's own clock reading from the heartbeat.
        clock: Millis,
        /// Length of the lease.
        lease: Millis,
    },
    /// Tells the worker that its session is not known, so that it registers again.
    UnknownSession {
        /// Term of the leader.
        term: Term,
    },
    /// Starts an attempt; a repeat has no second effect.
    Start {
        /// Fencing token.
        fence: Fence,
        /// The task.
        task: TaskId,
        /// The attempt.
        attempt: Attempt,
        /// What to run.
        spec: TaskSpec,
    },
    /// Stops an attempt, or withdraws its start if it has not begun.
    Stop {
        /// Fencing token.
        fence: Fence,
        /// The task.
        task: TaskId,
        /// The attempt.
        attempt: Attempt,
    },
    /// Limits the processor time of an attempt.
    Throttle {
        /// Fencing token.
        fence: Fence,
        /// The task.
        task: TaskId,
        /// The attempt.
        attempt: Attempt,
        /// Processor time allowed, in thousandths of a core.
        cpu_milli: u64,
    },
    /// Saves the state of an attempt and ends it.
    Checkpoint {
        /// Fencing token.
        fence: Fence,
        /// The task.
        task: TaskId,
        /// The attempt.
        attempt: Attempt,
    },
    /// Confirms that the end of an attempt is in the log, so that the worker may forget it.
    EndRecorded {
        /// The task.
        task: TaskId,
        /// The attempt.
        attempt: Attempt,
    },
    /// Asks the worker to move to another gateway, because this one is stopping.
    SwitchGateway,
}
