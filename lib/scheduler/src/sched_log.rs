use tarragon_cell::AttemptEnd;
use tarragon_codes::Failure;
use tarragon_names::{Attempt, Fence, JobId, Session, TaskId, Term, WorkerName};

/// Event of the scheduler for the time line.
#[derive(Clone, Debug, PartialEq)]
pub enum SchedLog {
    /// The scheduler took over.
    TookOver {
        /// Term of the leadership.
        term: Term,
        /// Jobs that have not ended.
        jobs: usize,
        /// Tasks assigned by the log.
        assigned: usize,
    },
    /// A worker confirmed its session.
    SessionConfirmed {
        /// The worker.
        worker: WorkerName,
        /// The session.
        session: Session,
        /// Assigned tasks that it runs.
        adopted: usize,
        /// Assigned tasks that it does not run.
        lost: usize,
    },
    /// The lease of a worker has certainly ended.
    LeaseEnded {
        /// The worker.
        worker: WorkerName,
        /// Tasks assigned to it.
        tasks: usize,
    },
    /// An order to start was sent.
    StartSent {
        /// The worker.
        worker: WorkerName,
        /// The task.
        task: TaskId,
        /// The attempt.
        attempt: Attempt,
        /// Fencing token.
        fence: Fence,
        /// Whether it was sent before.
        resent: bool,
    },
    /// An order to stop or checkpoint was sent.
    StopSent {
        /// The worker.
        worker: WorkerName,
        /// The task.
        task: TaskId,
        /// The attempt.
        attempt: Attempt,
        /// Fencing token.
        fence: Fence,
    },
    /// The end of an attempt was committed.
    Ended {
        /// The worker, if the attempt was held by it.
        worker: Option<WorkerName>,
        /// The task.
        task: TaskId,
        /// The attempt.
        attempt: Attempt,
        /// How it ended.
        ended: AttemptEnd,
    },
    /// A job is to be ended, because it can never run or fails everywhere.
    Refused {
        /// The job.
        job: JobId,
        /// The reason.
        reason: Failure,
    },
    /// A worker gets no work but probes.
    Quarantined {
        /// The worker.
        worker: WorkerName,
    },
    /// A worker gets work again.
    Restored {
        /// The worker.
        worker: WorkerName,
    },
    /// The tasks of a worker use more than it offers.
    Overcommitted {
        /// The worker.
        worker: WorkerName,
    },
}
