use crate::{
    PlaceRequest, Placement, Placer,
    ledger::{Ledger, forward_to_ledger},
    place_with_all_locks::place_with_all_locks,
};

/// Baseline that uses the first worker with enough free capacity, in the order of shards.
#[derive(Debug)]
pub struct FirstFit {
    ledger: Ledger,
}

impl FirstFit {
    /// A placer without workers.
    pub fn new() -> Self {
        Self {
            ledger: Ledger::new(false),
        }
    }
}

impl Default for FirstFit {
    fn default() -> Self {
        Self::new()
    }
}

impl Placer for FirstFit {
    forward_to_ledger!();

    fn place(&self, req: &PlaceRequest) -> Placement {
        place_with_all_locks(&self.ledger, req, |shards| {
            shards.iter().enumerate().find_map(|(shard, racks)| {
                let position = racks
                    .workers
                    .iter()
                    .position(|worker| req.accepts(&worker.info))?;
                Some((shard, position))
            })
        })
    }
}
