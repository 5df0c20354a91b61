use tarragon_names::Resources;

use crate::Totals;

/// Weights of processor and memory by how much of each is in use over all workers.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Scarcity {
    cpu: u64,
    memory: u64,
}

/// Sum of both weights.
const WHOLE: u64 = 1_024;

impl Scarcity {
    pub(crate) fn of(totals: &Totals) -> Self {
        let cpu = used(totals.reserved.cpu_milli, totals.capacity.cpu_milli);
        let memory = used(totals.reserved.memory_mb, totals.capacity.memory_mb);
        let cpu = (cpu * WHOLE).checked_div(cpu + memory).unwrap_or(WHOLE / 2);
        Self {
            cpu,
            memory: WHOLE - cpu,
        }
    }

    /// What is left over on a worker, from 0 to `whole`.
    pub(crate) fn waste(&self, left: &Resources, capacity: &Resources, whole: u64) -> u64 {
        let cpu = left.cpu_milli * whole / capacity.cpu_milli.max(1);
        let memory = left.memory_mb * whole / capacity.memory_mb.max(1);
        (cpu * self.cpu + memory * self.memory) / WHOLE
    }
}

/// Use in thousandths, at least 1 so that an empty cluster has equal weights.
fn used(reserved: u64, capacity: u64) -> u64 {
    reserved * 1_000 / capacity.max(1) + 1
}
