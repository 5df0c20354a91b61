use tarragon_names::{Attempt, Fence, Millis, Session, TaskId, Term};

use crate::TaskSpec;

/// Message from the leading host to a worker.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum WorkerOrder {
    /// Grants a session in answer to a registration. The lease counts from `clock`.
    Welcome {
        /// Term of the leader that sends the order.
        term: Term,
        /// Session that is granted.
        session: Session,
        /// Clock reading that the worker sent with its registration.
        clock: Millis,
        /// Duration of the lease.
        lease: Millis,
    },
    /// Answers a heartbeat and renews the lease, which counts from `clock`.
    HeartbeatReply {
        /// Term of the leader that sends the order.
        term: Term,
        /// Session whose lease is renewed.
        session: Session,
        /// Clock reading that the worker sent with the heartbeat.
        clock: Millis,
        /// Duration of the lease.
        lease: Millis,
    },
    /// Rejects a heartbeat of an unknown session; the worker registers again.
    UnknownSession {
        /// Term of the leader that sends the order.
        term: Term,
    },
    /// Starts an attempt; idempotent.
    Start {
        /// Fencing token; the worker refuses the order if it is outdated.
        fence: Fence,
        /// Task that the attempt belongs to.
        task: TaskId,
        /// Number of the attempt.
        attempt: Attempt,
        /// Description of the work.
        spec: TaskSpec,
    },
    /// Stops an attempt. If the attempt has not begun, the worker refuses to start it later.
    Stop {
        /// Fencing token; the worker refuses the order if it is outdated.
        fence: Fence,
        /// Task that the attempt belongs to.
        task: TaskId,
        /// Number of the attempt.
        attempt: Attempt,
    },
    /// Limits the processor time of an attempt.
    Throttle {
        /// Fencing token; the worker refuses the order if it is outdated.
        fence: Fence,
        /// Task that the attempt belongs to.
        task: TaskId,
        /// Number of the attempt.
        attempt: Attempt,
        /// Maximum processor time, in thousandths of a core.
        cpu_milli: u64,
    },
    /// Makes an attempt save a checkpoint and end.
    Checkpoint {
        /// Fencing token; the worker refuses the order if it is outdated.
        fence: Fence,
        /// Task that the attempt belongs to.
        task: TaskId,
        /// Number of the attempt.
        attempt: Attempt,
    },
    /// Confirms that the end of an attempt is committed to the log, so that the worker need not
    /// report it again.
    EndRecorded {
        /// Task that the attempt belongs to.
        task: TaskId,
        /// Number of the attempt.
        attempt: Attempt,
    },
    /// Asks the worker to connect to a different gateway, because this one is shutting down.
    SwitchGateway,
}
