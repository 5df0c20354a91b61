use crate::{parse, section::Section};

/// Weights of the placement policy, each from 0 to 100. At least one is above 0.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PolicySettings {
    /// Weight of short placement decisions: the higher it is, the fewer candidates are compared.
    pub wait: u8,
    /// Weight of little unused capacity on the chosen worker.
    pub packing: u8,
    /// Weight of spreading a job over racks and failure domains.
    pub spread: u8,
    /// Weight of keeping a job within a failure domain.
    pub locality: u8,
}

impl Default for PolicySettings {
    fn default() -> Self {
        Self {
            wait: 50,
            packing: 50,
            spread: 50,
            locality: 50,
        }
    }
}

impl PolicySettings {
    pub(crate) fn read(section: &Section<'_>) -> Self {
        let weight = |key, default: u8| section.or_default(key, default, parse::number(0, 100));
        let default = Self::default();
        let policy = Self {
            wait: weight("wait", default.wait),
            packing: weight("packing", default.packing),
            spread: weight("spread", default.spread),
            locality: weight("locality", default.locality),
        };
        if policy.wait == 0 && policy.packing == 0 && policy.spread == 0 && policy.locality == 0 {
            section.add_error("wait", "at least one weight must be above 0");
        }
        policy
    }
}
