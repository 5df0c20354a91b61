use std::str::FromStr;

use derive_more::Display;
use tarragon_names::Name;

/// Identifier of an event. Messages carry it, so that the event of their receipt can refer to the
/// event that caused it.
#[derive(Clone, Debug, Default, Display, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[display("{process}:{seq}")]
pub struct EventId {
    /// Identifier of the process, which differs after each restart.
    pub process: Name,
    /// Sequence number within that process, from 1; 0 means that no event was recorded.
    pub seq: u64,
}

impl FromStr for EventId {
    type Err = ();

    fn from_str(s: &str) -> Result<Self, Self::Err> {
        let (process, seq) = s.rsplit_once(':').ok_or(())?;
        let seq = seq.parse().map_err(|_e| ())?;
        Ok(Self {
            process: process.into(),
            seq,
        })
    }
}
