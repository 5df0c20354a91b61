use std::str::FromStr;

use derive_more::Display;
use tarragon_names::Name;

/// Identifier of an event.
#[derive(Clone, Debug, Default, Display, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[display("{process}:{seq}")]
pub struct EventId {
    /// Identifier of the process, which differs after each restart; the file name for a line of a task
    /// log of stand-ins.
    pub process: Name,
    /// Sequence number within that process, from 1; the line number for a line of a task log of
    /// stand-ins.
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
