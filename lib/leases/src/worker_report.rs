use tarragon_names::{
    Attempt, DomainName, Millis, RackName, Resources, Session, TaskId, WorkerName,
};

use crate::{RunningTask, TaskEnd};

/// Message from a worker to the leading host.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum WorkerReport {
    /// Requests a session.
    Register {
        /// Name of the worker.
        worker: WorkerName,
        /// Failure domain that the worker is in.
        domain: DomainName,
        /// Rack that the worker is in.
        rack: RackName,
        /// Total resources that the worker offers.
        capacity: Resources,
        /// Reading of the worker's own clock at the time of sending.
        clock: Millis,
        /// Tasks that still run, because the lease of the previous session has not ended.
        running: Vec<RunningTask>,
        /// Ends of attempts that no leader has confirmed yet.
        ended: Vec<(TaskId, Attempt, TaskEnd)>,
    },
    /// Renews the lease.
    Heartbeat {
        /// Current session of the worker.
        session: Session,
        /// Reading of the worker's own clock at the time of sending.
        clock: Millis,
        /// Running tasks with their usage. Lists all tasks until the first heartbeat of the session
        /// is answered; later heartbeats list changed tasks only, except for a periodic full list.
        running: Vec<RunningTask>,
    },
    /// Reports the end of an attempt; repeated until the leader sends `EndRecorded`.
    TaskEnded {
        /// Current session of the worker.
        session: Session,
        /// Task that the attempt belongs to.
        task: TaskId,
        /// Number of the attempt.
        attempt: Attempt,
        /// Outcome of the attempt.
        end: TaskEnd,
    },
    /// Announces that the worker gets no new tasks and leaves when its tasks have ended.
    Leaving {
        /// Current session of the worker.
        session: Session,
    },
}
