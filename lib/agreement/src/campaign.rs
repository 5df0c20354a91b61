use std::collections::BTreeSet;

use tarragon_names::{MemberId, Term};

use crate::Members;

/// An election in which this replica stands.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(crate) struct Campaign {
    /// Whether it only asks if it would win.
    pub(crate) pre: bool,
    /// Term that it stands in.
    pub(crate) term: Term,
    granted: BTreeSet<MemberId>,
}

impl Campaign {
    pub(crate) fn new(pre: bool, term: Term) -> Self {
        Self {
            pre,
            term,
            granted: BTreeSet::new(),
        }
    }

    pub(crate) fn grant(&mut self, from: MemberId) {
        self.granted.insert(from);
    }

    pub(crate) fn is_won(&self, members: &Members) -> bool {
        let votes = members.voters().filter(|id| self.granted.contains(id));
        votes.count() >= members.majority()
    }
}
