use std::collections::BTreeMap;

use derive_more::Display;
use serde::{Deserialize, Serialize};
use tarragon_names::Name;

use crate::WorkerIncarnation;

/// Number of a wave of machine upkeep, chosen by the operator.
#[derive(
    Clone, Copy, Debug, Deserialize, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct WaveKey(pub u64);

/// Progress of the upkeep of one machine.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum MachinePhase {
    /// The upkeep has not been ordered.
    Waiting,
    /// The platform confirmed the order, or the upkeep is no longer needed.
    Done,
    /// The order may have been sent and carried out, but the platform has not confirmed it.
    Ordered {
        /// Incarnation of the worker on the machine when the order was decided. It has ended once
        /// the order is confirmed.
        incarnation: Option<WorkerIncarnation>,
    },
}

/// A set of machines to be taken down for upkeep by a deadline, a limited number at once.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Wave {
    /// Progress of each machine, by its name.
    pub machines: BTreeMap<Name, MachinePhase>,
    /// Unix time by which the upkeep of all machines should be done, in milliseconds.
    pub due_ms: u64,
    /// Unix time of the operator's request, in milliseconds.
    pub requested_ms: u64,
    /// Maximum number of machines that may be down for upkeep at the same time.
    pub max_machines_down: u32,
}

impl Wave {
    /// Returns whether the upkeep of every machine has begun or is no longer needed.
    pub fn is_completed(&self) -> bool {
        self.machines
            .values()
            .all(|phase| *phase == MachinePhase::Done)
    }
}
