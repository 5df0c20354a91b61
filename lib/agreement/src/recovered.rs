use bytes::Bytes;
use tarragon_names::{MemberId, Term};

use crate::{Entry, SnapshotMeta};

/// State that a replica reads from its disk when it starts.
#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
pub struct Recovered {
    /// Identity stored in the data folder; a host that lost its disk has a new one.
    pub id: MemberId,
    /// Last saved term.
    pub term: Term,
    /// Candidate voted for in that term; `None` if the replica has not voted.
    pub voted_for: Option<MemberId>,
    /// Latest snapshot with the application's state; `None` if none was saved.
    pub snapshot: Option<(SnapshotMeta, Bytes)>,
    /// Entries after the snapshot.
    pub entries: Vec<Entry>,
}
