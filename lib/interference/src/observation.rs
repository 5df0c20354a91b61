use tarragon_names::Millis;

use crate::{image_table::Slot, run_report::RunKey};

/// Whether a source was on the worker during an observation.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Exposure {
    With,
    Without,
    /// For a part of the time only, or at a reduced rate.
    Unclear,
}

/// Slots of images that were on the worker during an observation, as one bit for each slot.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Neighbors {
    pub(crate) with: u32,
    pub(crate) unclear: u32,
}

impl Neighbors {
    pub(crate) fn exposure(self, source: Slot) -> Exposure {
        if self.unclear & source.bit() != 0 {
            Exposure::Unclear
        } else if self.with & source.bit() != 0 {
            Exposure::With
        } else {
            Exposure::Without
        }
    }

    pub(crate) fn clear(&mut self, slots: u32) {
        self.with &= !slots;
        self.unclear &= !slots;
    }
}

/// Cost of the work of a run, measured once.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Observation {
    pub(crate) at: Millis,
    pub(crate) run: RunKey,
    pub(crate) worker: u32,
    pub(crate) is_gang: bool,
    /// Natural logarithm of the duration, of the time for a percent of progress, or of the tail
    /// latency. A factor that multiplies the cost of work adds a constant to it.
    pub(crate) log_cost: f64,
    pub(crate) neighbors: Neighbors,
}
