use rand_chacha::{
    ChaCha8Rng,
    rand_core::{Rng, SeedableRng},
};
use tarragon_shard::Sharded;

use crate::{
    PlaceRequest, Placement, Placer,
    ledger::{Ledger, SHARDS, forward_to_ledger},
    rack_shard::RackShard,
    together::place_together,
};

/// Draws before the workers are looked through in order.
const DRAWS: usize = 32;

/// Baseline that draws two workers with room and takes the one with more free processor time.
#[derive(Debug)]
pub struct RandomOfTwo {
    ledger: Ledger,
    rng: Sharded<ChaCha8Rng>,
}

impl RandomOfTwo {
    /// A placer without workers that draws from `seed`.
    pub fn new(seed: u64) -> Self {
        Self {
            ledger: Ledger::new(false),
            rng: Sharded::new(1, |_| ChaCha8Rng::seed_from_u64(seed)),
        }
    }
}

impl Placer for RandomOfTwo {
    forward_to_ledger!();

    fn place(&self, req: &PlaceRequest) -> Placement {
        place_together(&self.ledger, req, |shards| {
            let shards = shards.iter().map(|shard| &**shard).collect::<Vec<_>>();
            self.rng
                .with_shard(0, |rng| draw_two(&shards, req, rng))
                .or_else(|| {
                    shards.iter().enumerate().find_map(|(shard, racks)| {
                        let slot = racks
                            .slots
                            .iter()
                            .position(|slot| req.accepts(&slot.info))?;
                        Some((shard, slot))
                    })
                })
        })
    }
}

/// Up to two workers with room, of which the one with more free processor time is returned.
fn draw_two(
    shards: &[&RackShard],
    req: &PlaceRequest,
    rng: &mut ChaCha8Rng,
) -> Option<(usize, usize)> {
    let mut first = None;
    for _ in 0..DRAWS {
        let shard = (rng.next_u64() % SHARDS as u64) as usize;
        let slots = &shards[shard].slots;
        if slots.is_empty() {
            continue;
        }
        let slot = (rng.next_u64() % slots.len() as u64) as usize;
        if !req.accepts(&slots[slot].info) {
            continue;
        }
        let free = slots[slot].info.free().cpu_milli;
        let Some((other, other_free)) = first else {
            first = Some(((shard, slot), free));
            continue;
        };
        return Some(if free > other_free {
            (shard, slot)
        } else {
            other
        });
    }
    first.map(|(place, _)| place)
}
