use std::sync::Arc;

use serde::{Deserialize, Serialize};
use tarragon_codes::Failure;
use tarragon_names::{JobId, Revision};

/// Result of applying a command.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Answer {
    /// The change was made.
    Done,
    /// The catalogue or a quota was written at this revision.
    Written(Revision),
    /// The job was accepted, now or earlier under the same key.
    Accepted(JobId),
    /// Tasks of an `Assign` that were taken up; the others were no longer startable.
    Assigned(Vec<tarragon_names::TaskId>),
    /// The key belongs to this claim, so the request may be sent.
    Claimed,
    /// The key was claimed by another; no outcome is stored yet.
    ClaimedByOther {
        /// Whether the claimant may still be at work.
        in_progress: bool,
    },
    /// The stored answer of an earlier request with this key.
    Stored {
        /// Status of the answer.
        status: u16,
        /// Body of the answer, absent if it was too large to keep.
        body: Option<Arc<[u8]>>,
    },
    /// The command changed nothing, for this reason.
    Failed(Failure),
}
