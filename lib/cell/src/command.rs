use std::sync::Arc;

use serde::{Deserialize, Serialize};
use tarragon_catalogue::{CatalogueEntry, Pattern};
use tarragon_codes::Failure;
use tarragon_names::{
    Attempt, IdempotencyKey, JobId, JobName, Revision, TaskId, TeamName, WorkerName,
};

use crate::{ClaimId, Ended, JobSpec, Quota};

/// A change of the replicated state.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Command {
    /// Creates or replaces a catalogue entry if its revision is `expected`.
    PutEntry {
        /// Names the write, so that a resend gets the first answer.
        request_id: Arc<str>,
        /// Current revision of the entry, 0 if it does not exist.
        expected: Revision,
        /// The entry.
        entry: CatalogueEntry,
    },
    /// Deletes a catalogue entry if its revision is `expected`.
    DeleteEntry {
        /// Names the write, so that a resend gets the first answer.
        request_id: Arc<str>,
        /// Current revision of the entry.
        expected: Revision,
        /// Pattern of the entry.
        pattern: Pattern,
    },
    /// Sets the quota of a team.
    PutQuota {
        /// Names the write, so that a resend gets the first answer.
        request_id: Arc<str>,
        /// Current revision of the quota, 0 if it does not exist.
        expected: Revision,
        /// The team.
        team: TeamName,
        /// The quota.
        quota: Quota,
    },
    /// Accepts a job, or finds the job accepted before under the same key.
    AcceptJob {
        /// Idempotency key of the caller.
        key: Option<IdempotencyKey>,
        /// The job.
        spec: JobSpec,
    },
    /// Gives tasks of a job to workers. Written before any start is sent.
    Assign {
        /// Each task with its attempt and worker; applied only where the attempt is the next one.
        tasks: Vec<(TaskId, Attempt, WorkerName)>,
    },
    /// Records the end of an attempt.
    End {
        /// The task.
        task: TaskId,
        /// The attempt.
        attempt: Attempt,
        /// How it ended.
        ended: Ended,
    },
    /// Stops a job: no task of it starts from here on.
    Cancel {
        /// The job.
        job: JobId,
    },
    /// Ends a job that can never run or fails everywhere.
    Refuse {
        /// The job.
        job: JobId,
        /// The reason.
        reason: Failure,
    },
    /// Marks a worker as draining, or takes it back.
    DrainWorker {
        /// The worker.
        worker: WorkerName,
        /// Whether it drains.
        draining: bool,
    },
    /// Claims an idempotency key for a service request, before the request is sent.
    ClaimKey {
        /// Name of the request.
        name: JobName,
        /// The key.
        key: IdempotencyKey,
        /// Digest of the request, so that a key is not used for two requests.
        digest: u64,
        /// Who claims.
        claim: ClaimId,
        /// Time limit of the request in milliseconds.
        timeout_ms: u64,
    },
    /// Stores the answer of a claimed request.
    CompleteKey {
        /// Name of the request.
        name: JobName,
        /// The key.
        key: IdempotencyKey,
        /// Who claimed it.
        claim: ClaimId,
        /// Status of the answer; 0 if the request was certainly not sent.
        status: u16,
        /// Body of the answer, absent if it was too large to keep.
        body: Option<Arc<[u8]>>,
    },
}
