use crate::{PlaceRequest, PolicyWeights, scarcity::Scarcity, slot::Slot};

/// Failure domains that are told apart; any beyond share the last number.
pub(crate) const DOMAINS: usize = 64;

/// Score of a worker that is left completely empty.
const WHOLE: u64 = 1_000;

/// Added for work without accelerators on a worker that has some, above all other terms.
const ACCELERATOR_PENALTY: u64 = 1_000_000;

/// One search for a worker for one task.
#[derive(Debug)]
pub(crate) struct Search<'a> {
    pub(crate) req: &'a PlaceRequest,
    pub(crate) weights: PolicyWeights,
    pub(crate) scarcity: Scarcity,
    /// Failure domains that are searched, one bit each.
    pub(crate) domains: u64,
    /// Added to the score of a worker in each failure domain.
    pub(crate) penalties: [u32; DOMAINS],
    /// Candidates compared in each shard.
    pub(crate) budget: usize,
}

impl Search<'_> {
    /// Score of a worker, the lower the better; `None` if the task cannot go there.
    pub(crate) fn score(&self, slot: &Slot) -> Option<u64> {
        if self.domains & (1 << slot.domain) == 0 {
            return None;
        }
        let need = &self.req.resources;
        let left = slot.info.free().checked_sub(need)?;
        if self.req.rules_out(&slot.info.name) {
            return None;
        }
        let capacity = &slot.info.capacity;
        let waste = self.scarcity.waste(&left, capacity, WHOLE);
        let mut score = waste * u64::from(self.weights.packing)
            + u64::from(self.penalties[usize::from(slot.domain)]);
        if capacity.accelerators > 0 {
            score += if need.accelerators == 0 {
                ACCELERATOR_PENALTY
            } else {
                left.accelerators * WHOLE * u64::from(self.weights.packing)
            };
        }
        Some(score)
    }
}
