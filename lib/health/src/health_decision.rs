use tarragon_names::{JobId, Millis, WorkerName};

/// Decision of the health table, to be carried out by its caller.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum HealthDecision {
    /// Place no more tasks on the worker until it runs a probe task.
    Quarantine {
        /// Worker to quarantine.
        worker: WorkerName,
        /// Time at which the first probe is due.
        probe_at: Millis,
    },
    /// Place no more tasks on the worker until its next probe, because its probe failed.
    ProbeFailed {
        /// Quarantined worker.
        worker: WorkerName,
        /// Time at which the next probe is due.
        probe_at: Millis,
    },
    /// Place tasks on the worker again, because a task succeeded there during a probe.
    Restore {
        /// Worker to restore.
        worker: WorkerName,
    },
    /// End the job as failed, because it fails on workers on which other jobs succeed.
    FailJob {
        /// Job to end.
        job: JobId,
        /// Workers that the job failed on and on which other jobs succeed.
        workers: Vec<WorkerName>,
    },
}
