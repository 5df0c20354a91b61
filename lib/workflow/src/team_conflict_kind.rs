use derive_more::Display;
use tarragon_names::TeamName;

use crate::KeyDigest;

/// What two teams have in common.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum TeamConflictKind {
    /// The name.
    #[display("the name appears twice")]
    SameName,
    /// A key.
    #[display("a key is shared with team {other}")]
    SharedKey {
        /// Digest of the key.
        key: KeyDigest,
        /// Name of the earlier team.
        other: TeamName,
    },
}
