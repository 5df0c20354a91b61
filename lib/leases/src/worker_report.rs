use tarragon_names::{
    Attempt, DomainName, Millis, RackName, Resources, Session, TaskId, WorkerName,
};

use crate::{RunningTask, TaskEnd};

/// Message from a worker to the leading host.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum WorkerReport {
    /// Asks for a session.
    Register {
        /// The worker.
        worker: WorkerName,
        /// Failure domain of the worker.
        domain: DomainName,
        /// Rack of the worker.
        rack: RackName,
        /// All that the worker offers.
        capacity: Resources,
        /// The worker's own clock reading.
        clock: Millis,
        /// Tasks that still run under a lease that has not ended.
        running: Vec<RunningTask>,
        /// Ends that the leader has not confirmed yet.
        ended: Vec<(TaskId, Attempt, TaskEnd)>,
    },
    /// Renews the lease.
    Heartbeat {
        /// Current session of the worker.
        session: Session,
        /// The worker's own clock reading.
        clock: Millis,
        /// Tasks that run, with their usage: all of them in the first heartbeats of a session, until
        /// one is answered, and then those that changed.
        running: Vec<RunningTask>,
    },
    /// Reports the end of an attempt; repeated until `EndRecorded` arrives.
    TaskEnded {
        /// Current session of the worker.
        session: Session,
        /// The task.
        task: TaskId,
        /// The attempt.
        attempt: Attempt,
        /// How it ended.
        end: TaskEnd,
    },
    /// Says that the worker takes no more work and leaves when its tasks have ended.
    Leaving {
        /// Current session of the worker.
        session: Session,
    },
}
