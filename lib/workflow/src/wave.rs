use std::collections::BTreeMap;

use derive_more::Display;
use serde::{Deserialize, Serialize};
use tarragon_names::Name;

/// Number of a wave of upkeep.
#[derive(
    Clone, Copy, Debug, Deserialize, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct WaveKey(pub u64);

/// How far the upkeep of a machine is.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum MachinePhase {
    /// Its upkeep has not begun.
    Waiting,
    /// Its upkeep has begun or is not needed any more.
    Done,
}

/// Machines whose upkeep the operator wants in time, a few at once.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Wave {
    /// The machines.
    pub machines: BTreeMap<Name, MachinePhase>,
    /// Unix time at which the wave should be done, in milliseconds.
    pub due_ms: u64,
    /// Unix time at which the operator asked for it, in milliseconds.
    pub requested_ms: u64,
    /// Most machines that are down for their upkeep at the same time.
    pub max_machines_down: u32,
}

impl Wave {
    /// Tells whether the upkeep of every machine has begun.
    pub fn is_completed(&self) -> bool {
        self.machines
            .values()
            .all(|phase| *phase == MachinePhase::Done)
    }
}
