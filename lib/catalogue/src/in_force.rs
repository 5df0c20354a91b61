use std::collections::BTreeMap;

use tarragon_names::{HostName, Millis, Revision};

use crate::FRESH_LEASE;

/// Leader's side of the freshness lease: which hosts may decide by which revision.
///
/// A host that did not poll within the lease (with drift and margin) has certainly stopped. A new
/// leader does not know whom its predecessor served, so it waits that long after its election.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct InForce {
    known_from: Millis,
    polls: BTreeMap<HostName, (Millis, Revision)>,
    reported: Revision,
}

impl InForce {
    /// State of a leader that was elected at `now`.
    pub fn new(now: Millis) -> Self {
        Self {
            known_from: now + FRESH_LEASE.with_clock_margin(),
            polls: BTreeMap::new(),
            reported: Revision(0),
        }
    }

    /// Notes that a host polled while it held everything up to `revision`.
    ///
    /// A poll that was overtaken by a later one does not lower what the host is known to hold. A
    /// host that restarted with nothing decides only after a grant for all that is committed.
    pub fn polled(&mut self, now: Millis, host: HostName, revision: Revision) {
        let poll = self.polls.entry(host).or_insert((now, revision));
        poll.0 = poll.0.max(now);
        poll.1 = poll.1.max(revision);
    }

    /// Highest revision in force everywhere, where `committed` is the leader's own.
    ///
    /// A revision stays in force, since no host installs an older one.
    pub fn revision(&mut self, now: Millis, committed: Revision) -> Revision {
        if now < self.known_from {
            return self.reported;
        }
        self.polls
            .retain(|_, (at, _)| now.since(*at) <= FRESH_LEASE.with_clock_margin());
        let held = self
            .polls
            .values()
            .map(|(_, revision)| *revision)
            .fold(committed, Revision::min);
        self.reported = self.reported.max(held);
        self.reported
    }

    /// Each host that polled, with what it held and whether it may still decide by it.
    pub fn hosts(&self, now: Millis) -> Vec<(HostName, Revision, bool)> {
        let lease = FRESH_LEASE.with_clock_margin();
        self.polls
            .iter()
            .map(|(host, (at, held))| (host.clone(), *held, now.since(*at) <= lease))
            .collect()
    }

    /// Hosts that may still decide by something older than `revision`.
    pub fn behind(&self, now: Millis, revision: Revision) -> Vec<HostName> {
        self.polls
            .iter()
            .filter(|(_, (at, held))| {
                *held < revision && now.since(*at) <= FRESH_LEASE.with_clock_margin()
            })
            .map(|(host, _)| host.clone())
            .collect()
    }
}
