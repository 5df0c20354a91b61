/// Weights of the placement policy, each from 0 to 100.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PolicyWeights {
    /// Weight of short decisions: the higher it is, the fewer candidates are compared.
    pub wait: u32,
    /// Weight of little unused capacity on the chosen worker.
    pub packing: u32,
    /// Weight of placing the tasks of a job in different failure domains.
    pub spread: u32,
    /// Weight of placing tasks in the preferred failure domain.
    pub locality: u32,
}

impl PolicyWeights {
    /// Weights for an operator to whom waiting time matters most.
    pub const WAITING: Self = Self {
        wait: 80,
        packing: 20,
        spread: 50,
        locality: 20,
    };

    /// Weights for an operator to whom packing and control cost matter most.
    ///
    /// Locality equals packing, so the preferred failure domain is chosen whenever the task fits
    /// there.
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
