use std::sync::Arc;

use serde::{Deserialize, Serialize};
use tarragon_codes::Failure;

/// Answer to a forwarded request.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum ForwardedReply {
    /// The whole answer of the executor.
    Answered {
        /// Number of the request at the host that forwarded it.
        request: u64,
        /// HTTP status of the executor.
        status: u16,
        /// Media type of the body.
        content_type: Option<String>,
        /// Whole body.
        body: Arc<[u8]>,
    },
    /// The request was not sent to an executor and never will be.
    NotSent(Failure),
    /// Bytes had left toward an executor and the outcome is not known.
    Unknown(Failure),
}
