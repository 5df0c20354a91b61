use std::str::FromStr;

use derive_more::Display;
use tarragon_names::Name;

/// Place of an event within its process, carried by messages so that later events can refer to it.
#[derive(Clone, Debug, Default, Display, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[display("{process}:{seq}")]
pub struct Mark {
    /// The process, unique over restarts.
    pub process: Name,
    /// Count of events in that process, from 1; 0 stands for no event.
    pub seq: u64,
}

impl FromStr for Mark {
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
