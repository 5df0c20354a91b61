use serde::{Deserialize, Serialize};
use tarragon_names::WorkerName;

use crate::AttemptEnd;

/// State of a task.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskState {
    /// Waits for a worker.
    Waiting,
    /// Given to a worker.
    Assigned(WorkerName),
    /// Ended for good.
    Ended(AttemptEnd),
}
