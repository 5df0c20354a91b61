use derive_more::{Display, From, Into};
use serde::{Deserialize, Serialize};

/// Number of an attempt to run a task, starting at 1.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Deserialize,
    Display,
    Eq,
    From,
    Hash,
    Into,
    Ord,
    PartialEq,
    PartialOrd,
    Serialize,
)]
pub struct Attempt(pub u32);

impl Attempt {
    /// The number after this one.
    #[must_use]
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}
