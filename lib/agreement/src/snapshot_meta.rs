use serde::{Deserialize, Serialize};
use tarragon_names::{LogIndex, Term};

use crate::Members;

/// What a snapshot covers.
#[derive(Clone, Debug, Default, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct SnapshotMeta {
    /// Last index that the snapshot covers.
    pub index: LogIndex,
    /// Term of that entry.
    pub term: Term,
    /// Member list at that index.
    pub members: Members,
}
