use serde::{Deserialize, Serialize};

/// Request that a stand-in executor started to run.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RequestRecord {
    /// Request id from the `X-Tarragon-Request` header; empty if the header is missing.
    pub request: String,
    /// Path of the request URI.
    pub path: String,
    /// First 64 bytes of the body, with invalid UTF-8 replaced.
    pub body: String,
    /// Value of the `Idempotency-Key` header; `None` if the header is missing.
    pub key: Option<String>,
    /// Time from the start of the executor until the request started to run, in milliseconds.
    pub at_ms: u64,
    /// Time from the home host's first answer to an announcement with `leaving` until the request
    /// started to run, in milliseconds; `None` before that answer.
    pub after_leave_ms: Option<u64>,
}
