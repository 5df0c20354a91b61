use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::TaskKey;

/// What the serialized form of a task leaves out, so that it stays readable for earlier releases.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TaskHistory {
    /// Task that the history belongs to.
    pub task: TaskKey,
    /// Runs that ended as failed.
    pub failed_runs: BTreeSet<u32>,
    /// Run that saved the checkpoint of the task; 0 if it is not known.
    pub checkpoint_run: u32,
}
