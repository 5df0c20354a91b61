use std::sync::Arc;

use serde::{Deserialize, Serialize};
use tarragon_names::{HostName, IdempotencyKey, JobName};

/// A service request forwarded to the home host of an executor.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ForwardedCall {
    /// Host that forwards.
    pub from: HostName,
    /// Number of the request at that host.
    pub request: u64,
    /// Name of the request.
    pub name: JobName,
    /// Idempotency key, already claimed by the sender.
    pub key: Option<IdempotencyKey>,
    /// Time left until the deadline, in milliseconds.
    pub timeout_ms: u64,
    /// Body of the request.
    pub body: Arc<[u8]>,
}
