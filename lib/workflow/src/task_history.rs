use serde::{Deserialize, Serialize};

use crate::{FailedRunDetails, TaskKey};

/// What the serialized form of a task leaves out, so that it stays readable for earlier releases.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TaskHistory {
    /// Task that the history belongs to.
    pub task: TaskKey,
    /// Failed runs; `None` if no run has failed.
    pub failed_runs: Option<FailedRunDetails>,
    /// Run that saved the checkpoint of the task; 0 if it is not known.
    pub checkpoint_run: u32,
}
