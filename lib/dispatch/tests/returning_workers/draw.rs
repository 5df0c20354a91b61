use rand_chacha::{
    ChaCha12Rng,
    rand_core::{Rng, SeedableRng},
};

/// Random numbers that repeat exactly for a seed.
pub struct Draw(ChaCha12Rng);

impl Draw {
    pub fn new(seed: u64) -> Self {
        Self(ChaCha12Rng::seed_from_u64(seed))
    }

    pub fn below(&mut self, end: u64) -> u64 {
        u64::from(self.0.next_u32()) % end
    }

    pub fn between(&mut self, least: u64, most: u64) -> u64 {
        least + self.below(most - least + 1)
    }

    pub fn chance(&mut self, percent: u64) -> bool {
        self.below(100) < percent
    }
}
