use tarragon_names::{Millis, Revision};

use crate::{FRESHNESS_LEASE, FRESHNESS_POLL_INTERVAL};

/// Host's side of the freshness lease.
///
/// The lease counts from the sending of the poll that was answered, since that is the only start
/// that the host can prove: the leader held everything at some time after it.
#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
pub struct FreshnessLease {
    last_poll: Option<Millis>,
    proven_at: Option<Millis>,
}

impl FreshnessLease {
    /// Tells whether the next poll is due.
    pub fn is_due(&self, now: Millis) -> bool {
        self.last_poll
            .is_none_or(|sent| now.since(sent) >= FRESHNESS_POLL_INTERVAL)
    }

    /// Notes that a poll is sent with the reading `now`.
    pub fn poll_sent(&mut self, now: Millis) {
        self.last_poll = Some(now);
    }

    /// Takes the grant of the poll that was sent at `clock`.
    ///
    /// `granted` is the leader's revision and `held` the host's after it took over the changes of
    /// the answer. A grant for more than the host holds proves nothing, nor does one for a poll
    /// that this process did not send.
    pub fn poll_answered(&mut self, clock: Millis, granted: Revision, held: Revision) {
        if held < granted || self.last_poll.is_none_or(|sent| clock > sent) {
            return;
        }
        self.proven_at = self.proven_at.max(Some(clock));
    }

    /// Tells whether the host may decide by its catalogue.
    pub fn is_fresh(&self, now: Millis) -> bool {
        self.proven_at
            .is_some_and(|proven| now.since(proven) < FRESHNESS_LEASE)
    }
}
