use tarragon_names::{JobId, Millis, WorkerName};

/// Decision of the health table, to be carried out by its caller.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum HealthDecision {
    /// Place nothing on the worker for a short time, because a job failed there quickly and on no
    /// other worker.
    Suspect {
        /// Worker to avoid.
        worker: WorkerName,
        /// Number of such jobs since the last success on the worker.
        failed_jobs: usize,
    },
    /// Place tasks on the worker again: no failed job counts against it any more, because the jobs
    /// failed on other workers too.
    Clear {
        /// Worker that was suspected or quarantined.
        worker: WorkerName,
    },
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
