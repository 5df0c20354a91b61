use std::sync::Arc;

use arc_swap::ArcSwapOption;
use tarragon_names::{HostName, Term};

/// A leader and its term.
type Known = ArcSwapOption<(Term, HostName)>;

/// Last known leader and its term; may be out of date.
///
/// What the replica of this host follows stands apart from what other hosts said: a failed call says
/// nothing against a leader whose messages arrive.
#[derive(Debug, Default)]
pub struct LeaderHint {
    /// Leader that the replica of this host follows; `None` without a replica.
    followed: Known,
    /// Leader that other hosts named.
    heard: Known,
}

impl LeaderHint {
    /// Host of the last known leader.
    pub fn get(&self) -> Option<HostName> {
        self.with_term().map(|(_, leader)| leader)
    }

    /// Term and host of the last known leader: the one of the later term, since only one leads in a
    /// term.
    pub fn with_term(&self) -> Option<(Term, HostName)> {
        let followed = self.followed.load();
        let heard = self.heard.load();
        match (followed.as_deref(), heard.as_deref()) {
            (Some(followed), Some(heard)) if heard.0 > followed.0 => Some(heard.clone()),
            (Some(followed), _) => Some(followed.clone()),
            (None, heard) => heard.cloned(),
        }
    }

    /// Records the leader that the replica of this host follows.
    pub fn follow(&self, term: Term, leader: &HostName) {
        self.followed.store(Some(Arc::new((term, leader.clone()))));
    }

    /// Records that the replica of this host no longer follows a leader. What others said of it is out
    /// of date as well.
    pub fn unfollow(&self) {
        self.followed.store(None);
        self.heard.store(None);
    }

    /// Records a leader that another host named, unless the leader of a later term is already known.
    pub fn set(&self, term: Term, leader: &HostName) {
        self.heard.rcu(|known| match known {
            Some(known) if known.0 > term => Some(Arc::clone(known)),
            _ => Some(Arc::new((term, leader.clone()))),
        });
    }

    /// Clears what other hosts said of the leader if they named `host`, and returns whether no leader
    /// is known any more; called after a failed call to that host.
    pub fn forget(&self, host: &HostName) -> bool {
        let heard = self.heard.rcu(|known| match known {
            Some(known) if known.1 != *host => Some(Arc::clone(known)),
            _ => None,
        });
        heard.is_some_and(|heard| heard.1 == *host) && self.get().is_none()
    }
}
