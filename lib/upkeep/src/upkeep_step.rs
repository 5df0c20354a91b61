use tarragon_names::{Name, WorkerName};
use tarragon_workflow::WaveKey;

/// Next action for a wave.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum UpkeepStep {
    /// Place nothing new on the worker.
    Drain {
        /// Worker on a machine that goes down soon.
        worker: WorkerName,
    },
    /// Order the upkeep of the machine, which ends all runs there.
    Begin {
        /// Wave that the machine belongs to.
        wave: WaveKey,
        /// Machine to take down.
        machine: Name,
        /// Worker on the machine; `None` if there is none.
        worker: Option<WorkerName>,
    },
    /// Order the upkeep of the machine again, because an earlier order was not confirmed.
    Repeat {
        /// Wave that the machine belongs to.
        wave: WaveKey,
        /// Machine that may be going down.
        machine: Name,
    },
    /// Record the upkeep as done, because the machine is gone.
    Skip {
        /// Wave that the machine belongs to.
        wave: WaveKey,
        /// Machine that is no longer listed.
        machine: Name,
    },
}
