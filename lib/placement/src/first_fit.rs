use crate::{
    PlaceRequest, Placement, Placer,
    ledger::{Ledger, forward_to_ledger},
    together::place_together,
};

/// Baseline that takes the first worker with room, in the order of shards.
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
        place_together(&self.ledger, req, |shards| {
            shards.iter().enumerate().find_map(|(shard, racks)| {
                let slot = racks
                    .slots
                    .iter()
                    .position(|slot| req.accepts(&slot.info))?;
                Some((shard, slot))
            })
        })
    }
}
