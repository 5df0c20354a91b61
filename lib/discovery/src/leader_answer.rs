use tarragon_names::{HostName, Term};

use crate::LeaderHint;

/// Answer of a host that was asked for the leader.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum LeaderAnswer {
    /// The host leads in this term.
    Leads(Term),
    /// The host does not lead; the leader that it knows, if any.
    Knows(Option<(Term, HostName)>),
    /// The host did not answer in time.
    Missing,
}

impl LeaderAnswer {
    /// Updates what a host knows of the leader with the answer of `from`. Returns whether the host
    /// forgot that `from` leads.
    pub fn apply(&self, from: &HostName, hint: &LeaderHint) -> bool {
        match self {
            Self::Leads(term) => {
                hint.set(*term, from);
                false
            }
            // A host that names itself is elected and has not committed its first entry yet.
            Self::Knows(Some((term, leader))) if leader == from => {
                hint.set(*term, leader);
                false
            }
            Self::Knows(leader) => {
                let is_forgotten = hint.forget(from);
                if let Some((term, leader)) = leader {
                    hint.set(*term, leader);
                }
                is_forgotten && leader.is_none()
            }
            Self::Missing => hint.forget(from),
        }
    }
}
