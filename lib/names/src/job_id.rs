use std::{num::ParseIntError, str::FromStr};

use derive_more::{Display, From, Into};
use serde::{Deserialize, Serialize};

/// Identifier of an accepted job: the log index of its acceptance.
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
#[display("j{_0}")]
pub struct JobId(pub u64);

impl FromStr for JobId {
    type Err = ParseIntError;

    fn from_str(s: &str) -> Result<Self, Self::Err> {
        s.strip_prefix('j').unwrap_or(s).parse().map(Self)
    }
}
