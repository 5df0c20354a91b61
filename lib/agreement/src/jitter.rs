use std::hash::{Hash, Hasher};

use rand_chacha::{
    ChaCha8Rng,
    rand_core::{Rng, SeedableRng},
};
use tarragon_names::Millis;

/// Source of random election timeouts.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct Jitter {
    rng: ChaCha8Rng,
}

impl Jitter {
    pub(crate) fn new(seed: u64) -> Self {
        Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Returns a random time from `min` to `max`, both included. Draws no random number if the two
    /// are equal.
    pub(crate) fn between(&mut self, min: Millis, max: Millis) -> Millis {
        let span = max.since(min).0;
        if span == 0 {
            return min;
        }
        Millis(min.0 + self.rng.next_u64() % (span + 1))
    }
}

impl Hash for Jitter {
    // The generator does not implement `Hash`. Leaving it out keeps equal replicas at equal hashes.
    fn hash<H: Hasher>(&self, _: &mut H) {}
}
