use serde::{Deserialize, Serialize};
use tarragon_names::Name;

use crate::{RunEnd, TaskKey, WorkerIncarnation};

/// Change in the state of a run, recorded by the leader.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum RunEvent {
    /// The run was assigned to a worker.
    ///
    /// The event is committed before the start order is sent, so every run on a worker is known to
    /// a new leader.
    Placed {
        /// Task that the run belongs to.
        task: TaskKey,
        /// Number of the run within the task, from 1.
        run: u32,
        /// Incarnation of the worker that runs the task.
        incarnation: WorkerIncarnation,
    },
    /// The worker reported the end of the run.
    Ended {
        /// Incarnation of the worker that reported the end.
        incarnation: WorkerIncarnation,
        /// Sequence number that the worker gave this end; acknowledged to the worker.
        number: u64,
        /// Task that the run belongs to.
        task: TaskKey,
        /// Number of the run within the task.
        run: u32,
        /// Reported outcome.
        end: RunEnd,
        /// Last checkpoint of the run; None if the run saved none.
        checkpoint: Option<Name>,
    },
    /// The run never started or has certainly stopped, and its end was not reported.
    Lost {
        /// Task that the run belongs to.
        task: TaskKey,
        /// Number of the run within the task.
        run: u32,
        /// Last checkpoint that the leader knows of.
        checkpoint: Option<Name>,
    },
}

impl RunEvent {
    /// Returns the task and the number of a run that was placed; `None` for another event.
    pub fn placed_run(&self) -> Option<(TaskKey, u32)> {
        match self {
            Self::Placed { task, run, .. } => Some((*task, *run)),
            Self::Ended { .. } | Self::Lost { .. } => None,
        }
    }
}
