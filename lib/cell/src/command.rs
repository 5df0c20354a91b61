use std::sync::Arc;

use serde::{Deserialize, Serialize};
use tarragon_catalogue::{CatalogueEntry, Pattern};
use tarragon_codes::Failure;
use tarragon_names::{
    Attempt, IdempotencyKey, JobId, JobName, Revision, TaskId, TeamName, WorkerName,
};

use crate::{AttemptEnd, ClaimId, JobSpec, Quota};

/// A change of the replicated state.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Command {
    /// Creates or replaces a catalogue entry if its current revision equals `expected`.
    PutEntry {
        /// Identifies the write, so that a resent write gets the first answer.
        request_id: Arc<str>,
        /// Revision that the writer last saw; 0 if the entry never existed.
        expected: Revision,
        /// New content of the entry.
        entry: CatalogueEntry,
    },
    /// Deletes a catalogue entry if its current revision equals `expected`.
    DeleteEntry {
        /// Identifies the write, so that a resent write gets the first answer.
        request_id: Arc<str>,
        /// Revision of the entry that the writer last saw.
        expected: Revision,
        /// Exact pattern of the entry.
        pattern: Pattern,
    },
    /// Sets the quota of a team if its current revision equals `expected`.
    PutQuota {
        /// Identifies the write, so that a resent write gets the first answer.
        request_id: Arc<str>,
        /// Revision that the writer last saw; 0 if the team has no quota.
        expected: Revision,
        /// Team that the quota limits.
        team: TeamName,
        /// New quota, which replaces the former one.
        quota: Quota,
    },
    /// Accepts a job, or finds the job that was accepted earlier under the same key.
    AcceptJob {
        /// Idempotency key; `None` if the caller sent none.
        key: Option<IdempotencyKey>,
        /// Name, kind and size of the job, as requested by the caller.
        spec: JobSpec,
    },
    /// Assigns tasks to workers. Committed before any start order is sent.
    Assign {
        /// Tasks with attempt and worker; a task is skipped unless the attempt is its next one.
        tasks: Vec<(TaskId, Attempt, WorkerName)>,
    },
    /// Records the end of an attempt.
    End {
        /// Task that the attempt belongs to.
        task: TaskId,
        /// Attempt that ended; ignored if the task has a later one.
        attempt: Attempt,
        /// How the attempt ended.
        ended: AttemptEnd,
    },
    /// Cancels a job; no task of it starts afterwards.
    Cancel {
        /// Job to cancel.
        job: JobId,
    },
    /// Refuses a job that fits no worker or fails on every worker; no task of it starts afterwards.
    Refuse {
        /// Job to refuse.
        job: JobId,
        /// Reason reported to callers.
        reason: Failure,
    },
    /// Starts or ends the draining of a worker.
    DrainWorker {
        /// Worker to drain or to use again.
        worker: WorkerName,
        /// Whether the worker drains from now on.
        draining: bool,
    },
    /// Claims an idempotency key for a service request, before the request is sent.
    ClaimKey {
        /// Name of the service request.
        name: JobName,
        /// Idempotency key, unique within the name.
        key: IdempotencyKey,
        /// Digest of the request; a claim of the same key with another digest is rejected.
        digest: u64,
        /// Identifies the claim.
        claim: ClaimId,
        /// Timeout of the request in milliseconds.
        timeout_ms: u64,
    },
    /// Stores the answer to a service request, or releases its key.
    CompleteKey {
        /// Name of the service request.
        name: JobName,
        /// Idempotency key of the request.
        key: IdempotencyKey,
        /// Claim of the sender; the command changes nothing unless this claim holds the key.
        claim: ClaimId,
        /// HTTP status of the answer; 0 if the request was certainly not sent.
        status: u16,
        /// Body of the answer; `None` if it was too large to store.
        body: Option<Arc<[u8]>>,
    },
}
