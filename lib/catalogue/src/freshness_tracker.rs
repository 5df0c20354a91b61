use std::collections::BTreeMap;

use tarragon_names::{HostName, Millis, Revision};

use crate::FRESHNESS_LEASE;

/// Leader's side of the freshness lease: which hosts may use which revision of the catalogue.
///
/// A host that did not poll within the lease (with clock drift and margin) has certainly stopped
/// using its copy. A new leader does not know which hosts polled its predecessor, so it waits this
/// long after its election.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct FreshnessTracker {
    hosts_known_from: Millis,
    polls: BTreeMap<HostName, (Millis, Revision)>,
    last_in_force: Revision,
}

impl FreshnessTracker {
    /// Creates the tracker of a leader that was elected at `now`.
    pub fn new(now: Millis) -> Self {
        Self {
            hosts_known_from: now + FRESHNESS_LEASE.with_clock_margin(),
            polls: BTreeMap::new(),
            last_in_force: Revision(0),
        }
    }

    /// Records a poll of a host that has all changes up to `revision`.
    ///
    /// A poll that arrives after a later one does not lower the recorded revision. Nor does a poll
    /// of a restarted host that has no changes: such a host uses its copy only after it was granted
    /// a lease on all committed changes.
    pub fn record_poll(&mut self, now: Millis, host: HostName, revision: Revision) {
        let poll = self.polls.entry(host).or_insert((now, revision));
        poll.0 = poll.0.max(now);
        poll.1 = poll.1.max(revision);
    }

    /// Highest revision that is in force: every host that may use its copy of the catalogue has all
    /// changes up to it. `committed` is the leader's own revision.
    ///
    /// The result stays 0 until a new leader has waited for the leases of its predecessor to end.
    /// It never decreases, since no host installs an older revision.
    pub fn revision_in_force(&mut self, now: Millis, committed: Revision) -> Revision {
        if now < self.hosts_known_from {
            return self.last_in_force;
        }
        self.polls.retain(|_, (polled_at, _)| {
            now.since(*polled_at) <= FRESHNESS_LEASE.with_clock_margin()
        });
        let lowest = self
            .polls
            .values()
            .map(|(_, revision)| *revision)
            .fold(committed, Revision::min);
        self.last_in_force = self.last_in_force.max(lowest);
        self.last_in_force
    }

    /// Hosts that polled, each with its revision and whether it may still use its copy.
    pub fn hosts(&self, now: Millis) -> Vec<(HostName, Revision, bool)> {
        let lease = FRESHNESS_LEASE.with_clock_margin();
        self.polls
            .iter()
            .map(|(host, (polled_at, revision))| {
                (host.clone(), *revision, now.since(*polled_at) <= lease)
            })
            .collect()
    }

    /// Hosts that may still use a copy older than `revision`.
    pub fn hosts_behind(&self, now: Millis, revision: Revision) -> Vec<HostName> {
        self.polls
            .iter()
            .filter(|(_, (polled_at, host_revision))| {
                *host_revision < revision
                    && now.since(*polled_at) <= FRESHNESS_LEASE.with_clock_margin()
            })
            .map(|(host, _)| host.clone())
            .collect()
    }
}
