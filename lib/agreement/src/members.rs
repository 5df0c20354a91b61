use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use tarragon_names::{HostName, MemberId};

/// What a member of the replica group does.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub enum Role {
    /// Counts for elections and commits.
    Voter,
    /// Replicates the log but does not count.
    Learner,
}

/// One member of the replica group.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct Member {
    /// Host on which the member runs.
    pub host: HostName,
    /// What the member does.
    pub role: Role,
}

/// Member list of the replica group.
#[derive(Clone, Debug, Default, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct Members {
    /// Members by identity.
    pub by_id: BTreeMap<MemberId, Member>,
}

impl Members {
    /// Identities of the voters.
    pub fn voters(&self) -> impl Iterator<Item = MemberId> + '_ {
        self.by_id
            .iter()
            .filter(|(_, member)| member.role == Role::Voter)
            .map(|(id, _)| *id)
    }

    /// Smallest number of voters that is a majority.
    pub fn majority(&self) -> usize {
        self.voters().count() / 2 + 1
    }

    /// Tells whether `id` counts for elections and commits.
    pub fn is_voter(&self, id: MemberId) -> bool {
        self.by_id
            .get(&id)
            .is_some_and(|member| member.role == Role::Voter)
    }
}
