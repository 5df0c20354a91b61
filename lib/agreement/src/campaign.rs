use std::collections::BTreeSet;

use tarragon_names::{MemberId, Term};

use crate::Members;

/// An election or pre-vote in which this replica is a candidate.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(crate) struct Campaign {
    /// Whether this is a pre-vote, which changes no term and records no vote.
    pub(crate) is_pre_vote: bool,
    /// Term that the candidate would lead.
    pub(crate) term: Term,
    granted_by: BTreeSet<MemberId>,
}

impl Campaign {
    pub(crate) fn new(is_pre_vote: bool, term: Term) -> Self {
        Self {
            is_pre_vote,
            term,
            granted_by: BTreeSet::new(),
        }
    }

    pub(crate) fn record_grant(&mut self, from: MemberId) {
        self.granted_by.insert(from);
    }

    pub(crate) fn is_won(&self, members: &Members) -> bool {
        let votes = members.voters().filter(|id| self.granted_by.contains(id));
        votes.count() >= members.majority()
    }
}
