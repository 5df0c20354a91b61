use bytes::Bytes;
use serde::{Deserialize, Serialize};
use tarragon_names::{LogIndex, Term};

use crate::Members;

/// Contents of a log entry.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub enum Payload {
    /// Written by a new leader so that entries of earlier terms can commit.
    Noop,
    /// A record of the application, opaque here.
    Record(Bytes),
    /// A new member list, in force as soon as it is appended.
    Members(Members),
}

/// One entry of the replicated log.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct Entry {
    /// Term of the leader that created the entry.
    pub term: Term,
    /// Position in the log.
    pub index: LogIndex,
    /// What the entry holds.
    pub payload: Payload,
}
