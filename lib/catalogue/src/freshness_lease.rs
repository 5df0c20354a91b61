use tarragon_names::{Millis, Revision};

use crate::{FRESHNESS_LEASE, FRESHNESS_POLL_INTERVAL};

/// Host's side of the freshness lease, during which the host may use its copy of the catalogue.
///
/// The lease starts when the host sends a poll that is answered, not when the answer arrives: the
/// host only knows that the leader built the answer at some time after the poll was sent.
#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
pub struct FreshnessLease {
    last_poll_at: Option<Millis>,
    granted_from: Option<Millis>,
}

impl FreshnessLease {
    /// Returns whether the next poll is due.
    pub fn is_due(&self, now: Millis) -> bool {
        self.last_poll_at
            .is_none_or(|sent| now.since(sent) >= FRESHNESS_POLL_INTERVAL)
    }

    /// Records that a poll is sent at `now`; the poll carries this clock reading.
    pub fn poll_sent(&mut self, now: Millis) {
        self.last_poll_at = Some(now);
    }

    /// Renews the lease by the answer to the poll that was sent at `clock`.
    ///
    /// `leader_revision` is the revision that the answer grants, and `host_revision` is that of the
    /// host's copy after the changes in the answer were installed. The lease is not renewed if the
    /// host lacks changes up to `leader_revision`, or if `clock` is later than the last poll of
    /// this process, which then cannot have sent the answered poll.
    pub fn poll_answered(
        &mut self,
        clock: Millis,
        leader_revision: Revision,
        host_revision: Revision,
    ) {
        if host_revision < leader_revision || self.last_poll_at.is_none_or(|sent| clock > sent) {
            return;
        }
        self.granted_from = self.granted_from.max(Some(clock));
    }

    /// Returns whether the host may use its copy of the catalogue.
    pub fn is_fresh(&self, now: Millis) -> bool {
        self.granted_from
            .is_some_and(|start| now.since(start) < FRESHNESS_LEASE)
    }
}
