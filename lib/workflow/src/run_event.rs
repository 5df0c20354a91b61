use serde::{Deserialize, Serialize};
use tarragon_names::Name;

use crate::{RunEnd, TaskKey, WorkerIncarnation};

/// What the leader decided about a run, or learnt of it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum RunEvent {
    /// The run is to be started on the worker; recorded before the order is sent.
    Placed {
        /// The task.
        task: TaskKey,
        /// Number of the run.
        run: u32,
        /// The worker.
        incarnation: WorkerIncarnation,
    },
    /// The worker listed the end of the run.
    Ended {
        /// The worker.
        incarnation: WorkerIncarnation,
        /// Number of the end on that worker.
        number: u64,
        /// The task.
        task: TaskKey,
        /// Number of the run.
        run: u32,
        /// How it ended.
        end: RunEnd,
        /// Its last checkpoint.
        checkpoint: Option<Name>,
    },
    /// The run certainly does not go on and was not listed as ended.
    Lost {
        /// The task.
        task: TaskKey,
        /// Number of the run.
        run: u32,
        /// Its last known checkpoint.
        checkpoint: Option<Name>,
    },
}
