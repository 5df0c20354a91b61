use tarragon_names::{JobId, Millis, WorkerName};

/// A decision of the health table that its caller carries out.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum HealthDecision {
    /// Place nothing more on the worker; it receives a probe at this time.
    Quarantine {
        /// The worker.
        worker: WorkerName,
        /// Time of the next probe.
        probe_at: Millis,
    },
    /// The worker ran a task to its end; place work on it again.
    Restore {
        /// The worker.
        worker: WorkerName,
    },
    /// End the job as failed; it fails on workers on which other jobs succeed.
    FailJob {
        /// The job.
        job: JobId,
        /// Good workers that it failed on.
        workers: Vec<WorkerName>,
    },
}
