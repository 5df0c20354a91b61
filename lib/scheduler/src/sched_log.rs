use tarragon_cell::AttemptEnd;
use tarragon_codes::Failure;
use tarragon_names::{Attempt, Fence, JobId, Session, TaskId, Term, WorkerName};

/// Event of the scheduler for the event log and the metrics.
#[derive(Clone, Debug, PartialEq)]
pub enum SchedLog {
    /// The scheduler started as leader with the state of the log.
    TookOver {
        /// Term that this host leads.
        term: Term,
        /// Number of jobs that have not ended.
        jobs: usize,
        /// Number of tasks that are assigned in the log.
        assigned: usize,
    },
    /// A worker confirmed its session.
    SessionConfirmed {
        /// Worker that sent the first heartbeat of the session.
        worker: WorkerName,
        /// Session, which replaces all earlier ones of the worker.
        session: Session,
        /// Number of assigned tasks that the worker runs.
        adopted: usize,
        /// Number of assigned tasks that the worker does not run; they end as lost.
        lost: usize,
    },
    /// The lease of a worker has certainly ended.
    LeaseEnded {
        /// Worker whose lease ended.
        worker: WorkerName,
        /// Number of tasks that were allocated on the worker.
        tasks: usize,
    },
    /// An order to start was sent.
    StartSent {
        /// Worker that the order was sent to.
        worker: WorkerName,
        /// Task to start.
        task: TaskId,
        /// Attempt that starts, counted from 1 for each task.
        attempt: Attempt,
        /// Fencing token, by which the worker refuses orders of an old session or leader.
        fence: Fence,
        /// Whether the start of this attempt was, or may have been, sent before.
        resent: bool,
    },
    /// An order to stop was sent. Orders to checkpoint are not recorded.
    StopSent {
        /// Worker that the order was sent to.
        worker: WorkerName,
        /// Task to stop.
        task: TaskId,
        /// Attempt to stop; an order for another attempt has no effect.
        attempt: Attempt,
        /// Fencing token, by which the worker refuses orders of an old session or leader.
        fence: Fence,
    },
    /// The end of an attempt was committed.
    Ended {
        /// Worker of the attempt; `None` if this leader had no allocation for the attempt.
        worker: Option<WorkerName>,
        /// Task that the attempt belongs to.
        task: TaskId,
        /// Attempt that ended, counted from 1 for each task.
        attempt: Attempt,
        /// How the attempt ended, as recorded in the log.
        ended: AttemptEnd,
    },
    /// The refusal of a job is proposed, because the job can never fit or fails on good workers.
    Refused {
        /// Job to refuse.
        job: JobId,
        /// Code and cause, which callers see as the reason of the job.
        reason: Failure,
    },
    /// A worker is quarantined: it gets no work except probes.
    Quarantined {
        /// Worker on which tasks of several jobs failed.
        worker: WorkerName,
    },
    /// The quarantine of a worker ended.
    Restored {
        /// Worker on which a task succeeded.
        worker: WorkerName,
    },
    /// The reservations of a worker, raised to the reported usage, exceed its capacity.
    Overcommitted {
        /// Worker whose tasks are throttled or checkpointed.
        worker: WorkerName,
    },
}
