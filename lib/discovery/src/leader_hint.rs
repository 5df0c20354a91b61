use std::sync::Arc;

use arc_swap::ArcSwapOption;
use tarragon_names::{HostName, Term};

/// Last known leader and its term; may be out of date.
#[derive(Debug, Default)]
pub struct LeaderHint(ArcSwapOption<(Term, HostName)>);

impl LeaderHint {
    /// Host of the last known leader.
    pub fn get(&self) -> Option<HostName> {
        self.0.load().as_ref().map(|known| known.1.clone())
    }

    /// Term and host of the last known leader.
    pub fn with_term(&self) -> Option<(Term, HostName)> {
        self.0.load().as_deref().cloned()
    }

    /// Records the leader that the replica of this host follows.
    pub fn follow(&self, term: Term, leader: &HostName) {
        self.set(term, leader);
    }

    /// Records that the replica of this host no longer follows a leader.
    pub fn unfollow(&self) {
        self.0.store(None);
    }

    /// Records a leader, unless the leader of a later term is already known.
    pub fn set(&self, term: Term, leader: &HostName) {
        self.0.rcu(|known| match known {
            Some(known) if known.0 > term => Some(Arc::clone(known)),
            _ => Some(Arc::new((term, leader.clone()))),
        });
    }

    /// Clears the hint if it still names `host`, and returns whether it did; called after a failed call
    /// to that host.
    pub fn forget(&self, host: &HostName) -> bool {
        let known = self.0.rcu(|known| match known {
            Some(known) if known.1 != *host => Some(Arc::clone(known)),
            _ => None,
        });
        known.is_some_and(|known| known.1 == *host)
    }
}
