use serde::{Deserialize, Serialize};
use tarragon_names::{Name, WorkerName};

/// State of a machine.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum MachineState {
    /// Runs a worker.
    Up,
    /// Moving to another pool.
    Moving,
    /// Down for upkeep.
    Upkeep,
    /// Down for another reason.
    Down,
    /// The entry could not be read beyond the name of the machine.
    Unknown,
}

/// A machine as the platform lists it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Machine {
    /// Name of the machine in the platform.
    pub name: Name,
    /// State at the time of the listing.
    pub state: MachineState,
    /// Worker on the machine; `None` if there is none.
    pub worker: Option<WorkerName>,
}
