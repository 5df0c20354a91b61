use bytes::Bytes;
use tarragon_names::{IdempotencyKey, JobName};

/// A service request of a caller.
#[derive(Clone, Debug)]
pub struct ServiceCall {
    /// Name of the request; its catalogue entry determines the pool.
    pub name: JobName,
    /// Idempotency key of the caller; a repeat with the same key gets the stored answer.
    pub key: Option<IdempotencyKey>,
    /// Time limit in milliseconds that the caller set; `None` means the default.
    pub timeout_ms: Option<u64>,
    /// Whole body of the request.
    pub body: Bytes,
}
