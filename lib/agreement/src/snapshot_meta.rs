use serde::{Deserialize, Serialize};
use tarragon_names::{LogIndex, Term};

use crate::Members;

/// Log position and member list of a snapshot.
#[derive(Clone, Debug, Default, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct SnapshotMeta {
    /// Last index that the snapshot covers.
    pub index: LogIndex,
    /// Term of the entry at `index`.
    pub term: Term,
    /// Member list in force at `index`.
    pub members: Members,
}
