use std::sync::Arc;

use parking_lot::Mutex;
use tarragon_catalogue::FreshnessTracker;
use tarragon_codes::{Code, Failure, Outcome};
use tarragon_names::{HostName, Revision, Term};

use tarragon_replica::Clock;

/// Polls of all hosts for the catalogue, kept by the host that leads.
#[derive(Debug)]
pub struct PollTable {
    clock: Arc<dyn Clock>,
    polls: Mutex<Option<(Term, FreshnessTracker)>>,
}

impl PollTable {
    /// A table of a host that does not lead.
    pub fn new(clock: Arc<dyn Clock>) -> Self {
        Self {
            clock,
            polls: Mutex::new(None),
        }
    }

    /// Begins to keep track of polls under a new term.
    pub fn became_leader(&self, term: Term) {
        *self.polls.lock() = Some((term, FreshnessTracker::new(self.clock.now())));
    }

    /// Forgets the polls, because another host takes them now.
    pub fn lost_leadership(&self) {
        *self.polls.lock() = None;
    }

    /// Notes a poll and gives the term in which it is answered.
    pub fn polled(&self, host: HostName, revision: Revision) -> Outcome<Term> {
        let mut polls = self.polls.lock();
        let (term, in_force) = polls.as_mut().ok_or_else(not_leader)?;
        in_force.record_poll(self.clock.now(), host, revision);
        Ok(*term)
    }

    /// Highest revision in force everywhere, where `committed` is the leader's own.
    pub fn in_force(&self, committed: Revision) -> Outcome<Revision> {
        let mut polls = self.polls.lock();
        let (_, in_force) = polls.as_mut().ok_or_else(not_leader)?;
        Ok(in_force.revision_in_force(self.clock.now(), committed))
    }

    /// Each host that polled, with its revision and whether it may still decide by it.
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
