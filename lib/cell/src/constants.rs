//! Bounds of the replicated state.

/// First answers of writes that are kept for resends.
pub const MAX_STORED_WRITES: usize = 10_000;

/// Time for which an ended job can be asked for, in milliseconds.
pub const ENDED_JOB_RETENTION_MS: u64 = 24 * 3_600 * 1_000;

/// Most ended jobs kept; at the target two days' worth.
pub const MAX_ENDED_JOBS: usize = 50_000;

/// Most jobs that may wait or run.
pub const MAX_UNFINISHED_JOBS: usize = 100_000;

/// Most tasks of jobs that may wait or run; bounds the memory of a replica.
pub const MAX_UNFINISHED_TASKS: u64 = 400_000;

/// Largest payload of a job in bytes.
pub const MAX_PAYLOAD_BYTES: usize = 64 * 1_024;

/// Time for which an idempotency key of a request is kept, in milliseconds.
pub const REQUEST_KEY_RETENTION_MS: u64 = 3_600 * 1_000;

/// Most idempotency keys of requests.
pub const MAX_REQUEST_KEYS: usize = 200_000;

/// Largest stored answer in bytes.
pub const MAX_STORED_BODY_BYTES: usize = 16 * 1_024;

/// Most bytes of stored answers; beyond it only the status of an answer is kept.
pub const MAX_STORED_BODIES_BYTES: usize = 32 * 1_024 * 1_024;

/// Most jobs in the answer to one query.
pub const MAX_JOBS_PER_QUERY: usize = 1_000;

/// Shards of jobs and of keys.
pub(crate) const SHARD_COUNT: usize = 16;

/// Wait told to callers that are refused because a bound is reached, in milliseconds.
pub(crate) const RETRY_AFTER_FULL_MS: u64 = 5_000;
