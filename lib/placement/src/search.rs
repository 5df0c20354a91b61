use crate::{
    PlaceRequest, PolicyWeights, resource_weights::ResourceWeights, shard_worker::ShardWorker,
};

/// Number of failure domains that are distinguished; further ones share the last number.
pub(crate) const MAX_DOMAINS: usize = 64;

/// Waste of a worker whose capacity would stay completely unused, and of one unused accelerator.
const SCORE_UNIT: u64 = 1_000;

/// Penalty for a task without accelerators on a worker that has some; chosen to exceed the other
/// terms of the score.
const ACCELERATOR_PENALTY: u64 = 1_000_000;

/// Parameters of one search for a worker.
#[derive(Debug)]
pub(crate) struct Search<'a> {
    pub(crate) req: &'a PlaceRequest,
    pub(crate) weights: PolicyWeights,
    pub(crate) resource_weights: ResourceWeights,
    /// Bit set of the failure domains to search.
    pub(crate) domains: u64,
    /// For each failure domain, the penalty that is added to the score of its workers.
    pub(crate) penalties: [u32; MAX_DOMAINS],
    /// Maximum number of candidates to compare in each shard.
    pub(crate) max_candidates: usize,
}

impl Search<'_> {
    /// Score of a worker, where lower is better; `None` if the task cannot be placed on it.
    pub(crate) fn score(&self, worker: &ShardWorker) -> Option<u64> {
        if self.domains & (1 << worker.domain) == 0 {
            return None;
        }
        let needed = &self.req.resources;
        let remaining = worker.info.free().checked_sub(needed)?;
        if self.req.excludes(&worker.info.name) {
            return None;
        }
        let capacity = &worker.info.capacity;
        let waste = self
            .resource_weights
            .waste(&remaining, capacity, SCORE_UNIT);
        let mut score = waste * u64::from(self.weights.packing)
            + u64::from(self.penalties[usize::from(worker.domain)]);
        if capacity.accelerators > 0 {
            score += if needed.accelerators == 0 {
                ACCELERATOR_PENALTY
            } else {
                remaining.accelerators * SCORE_UNIT * u64::from(self.weights.packing)
            };
        }
        Some(score)
    }
}
