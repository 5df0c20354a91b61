use serde::{Deserialize, Serialize};

/// What a member of the replica group does.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub enum Role {
    /// Counts for elections and commits.
    Voter,
    /// Replicates the log but does not count.
    Learner,
}
