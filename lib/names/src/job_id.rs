use std::{num::ParseIntError, str::FromStr};

use derive_more::{Display, From, Into};
use serde::{Deserialize, Deserializer, Serialize, Serializer, de::Error};

/// Identifier of an accepted job: the log index of the command that accepted it.
///
/// Text formats encode it as callers write it (`j12`), binary formats as a number.
#[derive(
    Clone, Copy, Debug, Default, Display, Eq, From, Hash, Into, Ord, PartialEq, PartialOrd,
)]
#[display("j{_0}")]
pub struct JobId(pub u64);

impl FromStr for JobId {
    type Err = ParseIntError;

    fn from_str(s: &str) -> Result<Self, Self::Err> {
        s.strip_prefix('j').unwrap_or(s).parse().map(Self)
    }
}

impl Serialize for JobId {
    fn serialize<S>(&self, serializer: S) -> Result<S::Ok, S::Error>
    where
        S: Serializer,
    {
        if serializer.is_human_readable() {
            serializer.collect_str(self)
        } else {
            serializer.serialize_u64(self.0)
        }
    }
}

impl<'de> Deserialize<'de> for JobId {
    fn deserialize<D>(deserializer: D) -> Result<Self, D::Error>
    where
        D: Deserializer<'de>,
    {
        if deserializer.is_human_readable() {
            String::deserialize(deserializer)?
                .parse()
                .map_err(D::Error::custom)
        } else {
            u64::deserialize(deserializer).map(Self)
        }
    }
}
