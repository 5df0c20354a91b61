use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use tarragon_names::MemberId;

use crate::{Member, Role};

/// Member list of the replica group.
#[derive(Clone, Debug, Default, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct Members {
    /// Voters and learners by identity. A host that lost its disk may be listed twice for a time,
    /// under its old and its new identity.
    pub by_id: BTreeMap<MemberId, Member>,
}

impl Members {
    /// Identities of the voters in ascending order.
    pub fn voters(&self) -> impl Iterator<Item = MemberId> + '_ {
        self.by_id
            .iter()
            .filter(|(_, member)| member.role == Role::Voter)
            .map(|(id, _)| *id)
    }

    /// Number of voters that form a majority.
    pub fn majority(&self) -> usize {
        self.voters().count() / 2 + 1
    }

    /// Returns whether `id` counts for elections and commits.
    pub fn is_voter(&self, id: MemberId) -> bool {
        self.by_id
            .get(&id)
            .is_some_and(|member| member.role == Role::Voter)
    }
}
