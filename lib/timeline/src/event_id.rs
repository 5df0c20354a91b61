use std::str::FromStr;

use derive_more::Display;
use tarragon_names::Name;

/// Identity of an event: its process and its count there.
#[derive(Clone, Debug, Default, Display, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[display("{process}:{seq}")]
pub struct EventId {
    /// The process, unique over restarts.
    pub process: Name,
    /// Count of events in that process, from 1.
    pub seq: u64,
}

impl FromStr for EventId {
    type Err = ();

    fn from_str(s: &str) -> Result<Self, Self::Err> {
        let (process, seq) = s.rsplit_once(':').ok_or(())?;
        Ok(Self {
            process: process.into(),
            seq: seq.parse().map_err(|_e| ())?,
        })
    }
}
