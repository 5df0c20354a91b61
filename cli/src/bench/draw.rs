use rand_chacha::{
    ChaCha8Rng,
    rand_core::{Rng, SeedableRng},
};

/// Seeded random draws.
#[derive(Debug)]
pub(crate) struct Draw(ChaCha8Rng);

impl Draw {
    pub(crate) fn new(seed: u64) -> Self {
        Self(ChaCha8Rng::seed_from_u64(seed))
    }

    /// A number below `end`, which is not zero.
    pub(crate) fn below(&mut self, end: u64) -> u64 {
        self.0.next_u64() % end
    }

    pub(crate) fn index(&mut self, len: usize) -> usize {
        self.below(len as u64) as usize
    }

    /// A number from 0 up to 1.
    pub(crate) fn unit(&mut self) -> f64 {
        (self.0.next_u64() >> 11) as f64 / (1_u64 << 53) as f64
    }

    pub(crate) fn chance(&mut self, probability: f64) -> bool {
        self.unit() < probability
    }

    /// An exponentially distributed time with this mean.
    pub(crate) fn exponential(&mut self, mean: f64) -> f64 {
        -mean * (1.0 - self.unit()).ln()
    }

    /// A factor from `1/most` to `most`, evenly on a logarithmic scale.
    pub(crate) fn factor(&mut self, most: f64) -> f64 {
        most.powf(2.0 * self.unit() - 1.0)
    }
}
