use serde::{Deserialize, Serialize};

/// Role of a member in the replica group.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub enum Role {
    /// Counts for elections and commits.
    Voter,
    /// Replicates the log but does not count for elections and commits.
    Learner,
}
