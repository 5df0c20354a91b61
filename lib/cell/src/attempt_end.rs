use serde::{Deserialize, Serialize};

/// How an attempt of a task ended, as recorded in the log.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum AttemptEnd {
    /// The process exited by itself with this status; 0 is success.
    Exited(i32),
    /// The attempt was stopped while it was running.
    Stopped,
    /// The attempt stopped at a checkpoint, from which a later attempt can resume.
    Checkpointed,
    /// The attempt never began.
    NeverBegan,
    /// The lease of the worker ended, so the attempt no longer runs; its outcome is unknown.
    LeaseEnded,
}
