use serde::{Deserialize, Serialize};
use tarragon_names::Name;

use crate::WorkerIncarnation;

/// A run that was given to a worker.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Placement {
    /// Number of the run.
    pub run: u32,
    /// The worker.
    pub incarnation: WorkerIncarnation,
}

/// Where a task stands.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub enum TaskPhase {
    /// It waits for a worker.
    #[default]
    Waiting,
    /// A run was given to a worker and has not ended as far as is known.
    Placed(Placement),
    /// Its work is done.
    Done,
}

/// One task of an occurrence.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct TaskProgress {
    /// Where it stands.
    pub phase: TaskPhase,
    /// Number of its last run, 0 before the first.
    pub last_run: u32,
    /// Number of the last run that counted as failed.
    pub failed_run: u32,
    /// Runs that failed.
    pub failures: u32,
    /// Its last checkpoint.
    pub checkpoint: Option<Name>,
}

impl TaskProgress {
    /// The run that was given to a worker, if one was.
    pub fn placement(&self) -> Option<&Placement> {
        match &self.phase {
            TaskPhase::Placed(placement) => Some(placement),
            _ => None,
        }
    }

    /// Tells whether `run` is the run that the task waits for.
    pub fn is_placed_as(&self, run: u32) -> bool {
        self.placement()
            .is_some_and(|placement| placement.run == run)
    }
}
