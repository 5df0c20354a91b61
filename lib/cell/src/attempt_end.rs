use serde::{Deserialize, Serialize};

/// How an attempt ended, as the log keeps it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum AttemptEnd {
    /// Ran to its end with this exit status; 0 is success.
    Exited(i32),
    /// Was running and was stopped.
    Stopped,
    /// Was checkpointed, to be resumed.
    Checkpointed,
    /// Never began.
    NeverBegan,
    /// The worker's lease ended, so the attempt no longer runs; whether it finished is not known.
    LeaseEnded,
}
