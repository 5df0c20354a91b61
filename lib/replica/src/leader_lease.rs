use tarragon_names::{Millis, Term};

/// Proof that this host's replica is the leader, with the time before which no other can be elected.
///
/// Only the replica's thread creates leases. An order that rests on the leadership takes its term
/// from a lease and checks the lease when it is sent, on a clock that also advances while the
/// process is paused.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LeaderLease {
    term: Term,
    until: Millis,
}

impl LeaderLease {
    pub(crate) fn new(term: Term, until: Millis) -> Self {
        Self { term, until }
    }

    /// Term in which the replica leads.
    pub fn term(&self) -> Term {
        self.term
    }

    /// Time before which no other replica can be elected.
    pub fn until(&self) -> Millis {
        self.until
    }

    /// Returns whether no other replica can have been elected at `now`.
    pub fn is_valid_at(&self, now: Millis) -> bool {
        now < self.until
    }
}
