use std::sync::Arc;

use serde::{Deserialize, Serialize};
use tarragon_codes::Failure;
use tarragon_names::{JobId, Revision};

/// Result of applying a command.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Answer {
    /// The change was made.
    Done,
    /// The catalogue or the quota was written and now has this revision.
    Written(Revision),
    /// The job was accepted, either by this command or earlier under the same idempotency key.
    Accepted(JobId),
    /// Tasks of an `Assign` command that were assigned; the others could no longer start.
    Assigned(Vec<tarragon_names::TaskId>),
    /// This claim holds the key, so the claimant may send the request.
    Claimed,
    /// The key was claimed before and no answer is stored, so the request must not be sent.
    ClaimedByOther {
        /// Whether the earlier claimant may still send the request or wait for its answer.
        in_progress: bool,
    },
    /// The stored answer of an earlier request with this key.
    Stored {
        /// HTTP status of the answer.
        status: u16,
        /// Body of the answer; `None` if it was too large to store.
        body: Option<Arc<[u8]>>,
    },
    /// The command was rejected for this reason and changed nothing.
    Failed(Failure),
}
