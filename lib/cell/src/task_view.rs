use serde::{Deserialize, Serialize};
use tarragon_names::Attempt;

use crate::TaskState;

/// Task as reported to callers.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TaskView {
    /// Position within the job, from 0.
    pub index: u32,
    /// Last assigned attempt; 0 before the first.
    pub attempt: Attempt,
    /// State at the time of the query.
    pub state: TaskState,
}
