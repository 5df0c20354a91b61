use serde::{Deserialize, Serialize};

/// A request that a stand-in executor began to run.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ExecutorRecord {
    /// Request id that the host sent along.
    pub request: String,
    /// Path that it was sent to.
    pub path: String,
    /// First bytes of the body.
    pub body: String,
    /// Idempotency key of the caller.
    pub key: Option<String>,
    /// Time since the start of the executor, in milliseconds.
    pub at_ms: u64,
    /// Time since the home was told that the executor leaves, in milliseconds; absent before that.
    pub after_leave_ms: Option<u64>,
}
