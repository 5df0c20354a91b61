use rand_chacha::{
    ChaCha8Rng,
    rand_core::{Rng, SeedableRng},
};

/// Random number generator that draws the same sequence for the same seed.
#[derive(Debug)]
pub(crate) struct SeededRng(ChaCha8Rng);

impl SeededRng {
    pub(crate) fn new(seed: u64) -> Self {
        Self(ChaCha8Rng::seed_from_u64(seed))
    }

    /// A number below `bound`, which must not be zero.
    pub(crate) fn below(&mut self, bound: u64) -> u64 {
        self.0.next_u64() % bound
    }

    pub(crate) fn index(&mut self, len: usize) -> usize {
        self.below(len as u64) as usize
    }

    /// A uniformly distributed number in `0.0..1.0`.
    pub(crate) fn uniform(&mut self) -> f64 {
        (self.0.next_u64() >> 11) as f64 / (1_u64 << 53) as f64
    }

    pub(crate) fn chance(&mut self, probability: f64) -> bool {
        self.uniform() < probability
    }

    /// An exponentially distributed number with this mean.
    pub(crate) fn exponential(&mut self, mean: f64) -> f64 {
        -mean * (1.0 - self.uniform()).ln()
    }

    /// A factor from `1/max_factor` to `max_factor`, uniform on a logarithmic scale.
    pub(crate) fn log_uniform_factor(&mut self, max_factor: f64) -> f64 {
        max_factor.powf(2.0 * self.uniform() - 1.0)
    }
}
