use std::sync::Arc;

use arc_swap::ArcSwapOption;
use tarragon_names::{HostName, Term};

/// Leader as far as this host knows, with the term it led in.
#[derive(Debug, Default)]
pub struct LeaderHint(ArcSwapOption<(Term, HostName)>);

impl LeaderHint {
    /// The host believed to lead.
    pub fn get(&self) -> Option<HostName> {
        self.0.load().as_ref().map(|known| known.1.clone())
    }

    /// The host believed to lead, with its term.
    pub fn with_term(&self) -> Option<(Term, HostName)> {
        self.0.load().as_deref().cloned()
    }

    /// Notes a leader; an older term changes nothing.
    pub fn set(&self, term: Term, leader: &HostName) {
        self.0.rcu(|known| match known {
            Some(known) if known.0 > term => Some(Arc::clone(known)),
            _ => Some(Arc::new((term, leader.clone()))),
        });
    }

    /// Forgets the leader, because this replica stopped hearing from it.
    pub fn clear(&self) {
        self.0.store(None);
    }

    /// Forgets the leader if it is still `host`, because a call to it failed.
    pub fn forget(&self, host: &HostName) {
        self.0.rcu(|known| match known {
            Some(known) if known.1 != *host => Some(Arc::clone(known)),
            _ => None,
        });
    }
}
