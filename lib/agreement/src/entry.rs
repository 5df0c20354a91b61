use serde::{Deserialize, Serialize};
use tarragon_names::{LogIndex, Term};

use crate::Payload;

/// One entry of the replicated log.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct Entry {
    /// Term of the leader that created the entry.
    pub term: Term,
    /// Position in the log; the first entry has index 1.
    pub index: LogIndex,
    /// Record, member list or no-op.
    pub payload: Payload,
}

impl Entry {
    /// Size of the record of the entry in bytes; zero for the few other entries, which are small.
    pub(crate) fn record_len(&self) -> usize {
        match &self.payload {
            Payload::Record(record) => record.len(),
            _ => 0,
        }
    }
}
