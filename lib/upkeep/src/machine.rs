use serde::{Deserialize, Serialize};
use tarragon_names::{Name, WorkerName};

/// What a machine does.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum MachineState {
    /// It runs a worker.
    Up,
    /// It changes its pool.
    Moving,
    /// It is down for its upkeep.
    Upkeep,
    /// It is down for another reason.
    Down,
}

/// A machine as the platform lists it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Machine {
    /// Its name.
    pub name: Name,
    /// What it does.
    pub state: MachineState,
    /// The worker that runs there, if one does.
    pub worker: Option<WorkerName>,
}
