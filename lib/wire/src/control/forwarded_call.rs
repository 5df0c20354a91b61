use std::sync::Arc;

use serde::{Deserialize, Serialize};
use tarragon_names::{HostName, IdempotencyKey, JobName};

/// Service request forwarded to the home host of an executor.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ForwardedCall {
    /// Host that forwards the request.
    pub from: HostName,
    /// Number of the request on the forwarding host; the reply repeats it.
    pub request: u64,
    /// Name of the request, by which the catalogue entry is found.
    pub name: JobName,
    /// Idempotency key, already claimed by the forwarding host; `None` if the request has none.
    pub key: Option<IdempotencyKey>,
    /// Time left until the deadline of the request, in milliseconds.
    pub timeout_ms: u64,
    /// HTTP body of the request.
    pub body: Arc<[u8]>,
}
