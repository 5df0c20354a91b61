use serde::{Deserialize, Serialize};
use tarragon_names::WorkerName;

use crate::AttemptEnd;

/// State of a task as recorded in the log.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskState {
    /// The task waits for a worker.
    Waiting,
    /// The current attempt is assigned to this worker.
    Assigned(WorkerName),
    /// The task ended and starts no further attempt.
    Ended(AttemptEnd),
}
