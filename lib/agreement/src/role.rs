use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Role of a member in the replica group.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, Hash, PartialEq, Serialize)]
pub enum Role {
    /// Counts for elections and commits.
    #[display("voter")]
    Voter,
    /// Replicates the log but does not count for elections and commits.
    #[display("learner")]
    Learner,
}
