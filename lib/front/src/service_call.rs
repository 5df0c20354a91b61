use bytes::Bytes;
use tarragon_names::{IdempotencyKey, JobName};

/// A service request as it arrives from a caller.
#[derive(Clone, Debug)]
pub struct ServiceCall {
    /// Name, which the catalogue maps to a pool.
    pub name: JobName,
    /// Idempotency key of the caller.
    pub key: Option<IdempotencyKey>,
    /// Time limit asked for by the caller, in milliseconds.
    pub timeout_ms: Option<u64>,
    /// Whole body.
    pub body: Bytes,
}
