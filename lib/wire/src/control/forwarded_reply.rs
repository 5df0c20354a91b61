use std::sync::Arc;

use serde::{Deserialize, Serialize};
use tarragon_codes::Failure;

/// Outcome of a forwarded request.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum ForwardedReply {
    /// The executor answered in full.
    Answered {
        /// Number of the request on the forwarding host.
        request: u64,
        /// HTTP status of the answer.
        status: u16,
        /// Media type of the body; `None` if the executor sent none.
        content_type: Option<String>,
        /// HTTP body of the answer.
        body: Arc<[u8]>,
    },
    /// The request was not sent to an executor and never will be.
    NotSent(Failure),
    /// A part of the request may have reached an executor, and its outcome is unknown.
    Unknown(Failure),
}
