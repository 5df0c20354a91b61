use rand_chacha::{
    ChaCha8Rng,
    rand_core::{Rng, SeedableRng},
};
use tarragon_shard::Sharded;

use crate::{
    PlaceRequest, Placement, Placer,
    ledger::{Ledger, SHARD_COUNT, forward_to_ledger},
    place_with_all_locks::place_with_all_locks,
    rack_shard::RackShard,
};

/// Number of random draws after which the workers are searched in order.
const MAX_DRAWS: usize = 32;

/// Baseline with random choice of two: of two random workers with enough free capacity, it uses the
/// one with more free processor time.
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
        place_with_all_locks(&self.ledger, req, |shards| {
            let shards = shards.iter().map(|shard| &**shard).collect::<Vec<_>>();
            self.rng
                .with_shard(0, |rng| draw_two(&shards, req, rng))
                .or_else(|| {
                    shards.iter().enumerate().find_map(|(shard, racks)| {
                        let position = racks
                            .workers
                            .iter()
                            .position(|worker| req.accepts(&worker.info))?;
                        Some((shard, position))
                    })
                })
        })
    }
}

/// Draws up to two workers that accept a task and returns the one with more free processor time.
fn draw_two(
    shards: &[&RackShard],
    req: &PlaceRequest,
    rng: &mut ChaCha8Rng,
) -> Option<(usize, usize)> {
    let mut first = None;
    for _ in 0..MAX_DRAWS {
        let shard = (rng.next_u64() % SHARD_COUNT as u64) as usize;
        let workers = &shards[shard].workers;
        if workers.is_empty() {
            continue;
        }
        let position = (rng.next_u64() % workers.len() as u64) as usize;
        if !req.accepts(&workers[position].info) {
            continue;
        }
        let free = workers[position].info.free().cpu_milli;
        let Some((other, other_free)) = first else {
            first = Some(((shard, position), free));
            continue;
        };
        return Some(if free > other_free {
            (shard, position)
        } else {
            other
        });
    }
    first.map(|(place, _)| place)
}
