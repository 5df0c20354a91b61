//! Bounds of the replicated state.

/// Most answers to operators' writes that are stored for resent writes.
pub const MAX_STORED_WRITES: usize = 10_000;

/// Time for which an ended job can be queried, in milliseconds.
pub const ENDED_JOB_RETENTION_MS: u64 = 24 * 3_600 * 1_000;

/// Most ended jobs kept; two days' worth at the target load.
pub const MAX_ENDED_JOBS: usize = 50_000;

/// Most jobs of the cell that may wait or run at once.
pub const MAX_UNFINISHED_JOBS: usize = 100_000;

/// Most tasks of all waiting and running jobs; bounds the memory of a replica.
pub const MAX_UNFINISHED_TASKS: u64 = 400_000;

/// Largest payload of a job in bytes.
pub const MAX_PAYLOAD_BYTES: usize = 64 * 1_024;

/// Time for which an idempotency key of a service request is kept, in milliseconds.
pub const REQUEST_KEY_RETENTION_MS: u64 = 3_600 * 1_000;

/// Most idempotency keys of service requests that are kept.
pub const MAX_REQUEST_KEYS: usize = 200_000;

/// Largest answer body that is stored, in bytes.
pub const MAX_STORED_BODY_BYTES: usize = 16 * 1_024;

/// Most bytes of all stored answer bodies; beyond that only the status of an answer is stored.
pub const MAX_STORED_BODIES_BYTES: usize = 32 * 1_024 * 1_024;

/// Most jobs in the answer to one query.
pub const MAX_JOBS_PER_QUERY: usize = 1_000;

/// Number of shards for the jobs, and again for the keys.
pub(crate) const SHARD_COUNT: usize = 16;

/// Retry delay for callers refused because a bound is reached, in milliseconds.
pub(crate) const RETRY_AFTER_FULL_MS: u64 = 5_000;
