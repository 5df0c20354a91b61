use bytes::Bytes;
use tarragon_names::{MemberId, Term};

use crate::{Entry, SnapshotMeta};

/// What a replica's disk held at its start.
#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
pub struct Recovered {
    /// Identity stored in the data folder.
    pub id: MemberId,
    /// Last saved term.
    pub term: Term,
    /// Vote in that term.
    pub voted_for: Option<MemberId>,
    /// Latest snapshot, if any.
    pub snapshot: Option<(SnapshotMeta, Bytes)>,
    /// Entries after the snapshot.
    pub entries: Vec<Entry>,
}
