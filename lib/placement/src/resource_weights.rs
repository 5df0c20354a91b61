use tarragon_names::Resources;

use crate::Totals;

/// Weights of processor time and memory by their utilisation over all workers.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ResourceWeights {
    cpu: u64,
    memory: u64,
}

/// Sum of both weights.
const WEIGHT_SUM: u64 = 1_024;

impl ResourceWeights {
    pub(crate) fn of(totals: &Totals) -> Self {
        let cpu = usage_permille(totals.reserved.cpu_milli, totals.capacity.cpu_milli);
        let memory = usage_permille(totals.reserved.memory_mb, totals.capacity.memory_mb);
        let cpu = (cpu * WEIGHT_SUM)
            .checked_div(cpu + memory)
            .unwrap_or(WEIGHT_SUM / 2);
        Self {
            cpu,
            memory: WEIGHT_SUM - cpu,
        }
    }

    /// Weighted fraction of a worker's capacity that stays unused, from 0 to `scale`.
    pub(crate) fn waste(&self, unused: &Resources, capacity: &Resources, scale: u64) -> u64 {
        let cpu = unused.cpu_milli * scale / capacity.cpu_milli.max(1);
        let memory = unused.memory_mb * scale / capacity.memory_mb.max(1);
        (cpu * self.cpu + memory * self.memory) / WEIGHT_SUM
    }
}

/// Utilisation in thousandths plus 1, so that an empty cluster has equal weights.
fn usage_permille(reserved: u64, capacity: u64) -> u64 {
    reserved * 1_000 / capacity.max(1) + 1
}
