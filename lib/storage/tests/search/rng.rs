/// Pseudorandom generator (`SplitMix64`), whose sequence depends on the seed only.
#[derive(Clone, Debug, Default)]
pub struct Rng(pub u64);

impl Rng {
    /// Returns a number below `bound`; 0 if `bound` is 0.
    pub fn below(&mut self, bound: usize) -> usize {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mixed = (self.0 ^ (self.0 >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        ((mixed ^ (mixed >> 31)) % bound.max(1) as u64) as usize
    }

    pub fn coin(&mut self) -> bool {
        self.below(2) == 0
    }
}
