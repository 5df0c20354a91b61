use bytes::Bytes;
use tarragon_names::{JobName, KeyName};

/// A service request as it arrives from a caller.
#[derive(Clone, Debug)]
pub struct ServiceCall {
    /// Name, which the catalogue maps to a pool.
    pub name: JobName,
    /// Idempotency key of the caller.
    pub key: Option<KeyName>,
    /// Time limit asked for by the caller, in milliseconds.
    pub timeout_ms: Option<u64>,
    /// Whole body.
    pub body: Bytes,
}

/// The whole answer of an executor.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServiceReply {
    /// HTTP status of the executor.
    pub status: u16,
    /// Media type of the body.
    pub content_type: Option<String>,
    /// Whole body.
    pub body: Bytes,
    /// Whether this is a stored answer to an earlier request with the same key.
    pub stored: bool,
}
