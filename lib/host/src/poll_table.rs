use std::sync::Arc;

use parking_lot::Mutex;
use tarragon_catalogue::FreshnessTracker;
use tarragon_codes::{Code, Failure, Outcome};
use tarragon_names::{HostName, Revision, Term};

use tarragon_replica::Clock;

/// Catalogue polls of all hosts, recorded while this host leads.
#[derive(Debug)]
pub struct PollTable {
    clock: Arc<dyn Clock>,
    polls: Mutex<Option<(Term, FreshnessTracker)>>,
}

impl PollTable {
    /// Creates the table of a host that does not lead.
    pub fn new(clock: Arc<dyn Clock>) -> Self {
        Self {
            clock,
            polls: Mutex::new(None),
        }
    }

    /// Starts to record polls in a new term.
    pub fn became_leader(&self, term: Term) {
        *self.polls.lock() = Some((term, FreshnessTracker::new(self.clock.now())));
    }

    /// Discards the polls, because hosts now poll another leader.
    pub fn lost_leadership(&self) {
        *self.polls.lock() = None;
    }

    /// Records a poll and returns the term in which it is answered; fails with `NotLeader` if this
    /// host does not lead.
    pub fn record_poll(&self, host: HostName, revision: Revision) -> Outcome<Term> {
        let mut polls = self.polls.lock();
        let (term, in_force) = polls.as_mut().ok_or_else(not_leader)?;
        in_force.record_poll(self.clock.now(), host, revision);
        Ok(*term)
    }

    /// Returns the highest revision in force on all hosts; `committed` is the leader's revision.
    pub fn in_force(&self, committed: Revision) -> Outcome<Revision> {
        let mut polls = self.polls.lock();
        let (_, in_force) = polls.as_mut().ok_or_else(not_leader)?;
        Ok(in_force.revision_in_force(self.clock.now(), committed))
    }

    /// Returns each host that polled, with its revision and whether it may still decide by it.
    pub fn hosts(&self) -> Vec<(HostName, Revision, bool)> {
        let polls = self.polls.lock();
        polls
            .as_ref()
            .map(|(_, in_force)| in_force.hosts(self.clock.now()))
            .unwrap_or_default()
    }
}

fn not_leader() -> Failure {
    Failure::of(Code::NotLeader)
}
