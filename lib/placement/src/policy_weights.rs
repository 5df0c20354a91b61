/// Weights of the one placement policy, each from 0 to 100.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PolicyWeights {
    /// Short decisions: the higher, the fewer candidates are compared.
    pub wait: u32,
    /// Little capacity left over on the chosen worker.
    pub packing: u32,
    /// Tasks of a job in different failure domains.
    pub spread: u32,
    /// Tasks in the preferred failure domain.
    pub locality: u32,
}

impl PolicyWeights {
    /// Weights for a user that weighs waiting time most.
    pub const WAITING: Self = Self {
        wait: 80,
        packing: 20,
        spread: 50,
        locality: 20,
    };

    /// Weights for a user that weighs packing and control cost most.
    ///
    /// Locality equals packing, so the preferred failure domain wins whenever it has room.
    pub const PACKING: Self = Self {
        wait: 10,
        packing: 90,
        spread: 40,
        locality: 90,
    };
}

impl Default for PolicyWeights {
    fn default() -> Self {
        Self {
            wait: 40,
            packing: 60,
            spread: 50,
            locality: 30,
        }
    }
}
