use serde::{Deserialize, Serialize};
use tarragon_names::Attempt;

use crate::TaskState;

/// A task as it is told to callers.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TaskView {
    /// Position within the job.
    pub index: u32,
    /// Attempts made so far.
    pub attempt: Attempt,
    /// State.
    pub state: TaskState,
}
