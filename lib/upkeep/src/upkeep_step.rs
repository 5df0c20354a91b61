use tarragon_names::{Name, WorkerName};
use tarragon_workflow::WaveKey;

/// What is to be done for a wave.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum UpkeepStep {
    /// Place nothing more on the worker.
    Drain {
        /// The worker.
        worker: WorkerName,
    },
    /// Order the upkeep of the machine; it ends everything that runs there.
    Begin {
        /// The wave.
        wave: WaveKey,
        /// The machine.
        machine: Name,
        /// The worker that runs there.
        worker: Option<WorkerName>,
    },
    /// The machine is gone, so that it needs no upkeep.
    Skip {
        /// The wave.
        wave: WaveKey,
        /// The machine.
        machine: Name,
    },
}
