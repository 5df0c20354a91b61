use tarragon_names::Workload;

use crate::{
    PlaceRequest, Placement, Placer,
    ledger::{Ledger, forward_to_ledger},
    rack_shard::RackShard,
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
            ledger: Ledger::new(),
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
        self.ledger.racks.with_all(|shards| {
            let mut taken = Vec::new();
            for _ in 0..req.tasks {
                let found = shards
                    .iter()
                    .enumerate()
                    .find_map(|(shard, racks)| first_fit(racks, req).map(|slot| (shard, slot)));
                let Some((shard, slot)) = found else { break };
                shards[shard].take(slot, &req.resources);
                taken.push((shard, slot));
            }
            if req.workload == Workload::AllOrNothing && taken.len() < req.tasks as usize {
                for (shard, slot) in taken.drain(..) {
                    shards[shard].give_back(slot, &req.resources);
                }
            }
            Placement {
                workers: taken
                    .into_iter()
                    .map(|(shard, slot)| shards[shard].slots[slot].name.clone())
                    .collect(),
            }
        })
    }
}

fn first_fit(racks: &RackShard, req: &PlaceRequest) -> Option<usize> {
    racks.slots.iter().position(|info| {
        info.schedulable && req.resources.fits(&info.free()) && !req.rules_out(&info.name)
    })
}
