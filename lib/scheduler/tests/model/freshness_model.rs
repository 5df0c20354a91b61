use std::collections::BTreeSet;

use tarragon_catalogue::{FRESHNESS_LEASE, FreshnessLease, FreshnessTracker};
use tarragon_explore::Model;
use tarragon_names::{HostName, Millis, Revision};

/// True time passes in these steps; the lease of 2,500 ms is five of them.
const QUANTUM: u64 = 500;
const MOST_TIME: u64 = 14;
const MOST_IN_FLIGHT: usize = 2;
const MOST_REVISION: u64 = 2;

/// A fault planted to see that the check finds it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FreshFault {
    /// The host counts its lease from the arrival of the answer.
    FromAnswer,
    /// The leader counts the lease without drift and margin.
    NoDriftMargin,
    /// A new leader does not wait for the leases that its predecessor granted.
    NoWait,
}

/// One host, two leaders in turn, and changes of the catalogue.
///
/// The host's clock runs 1% slow.
#[derive(Debug)]
pub struct FreshnessModel {
    fault: Option<FreshFault>,
}

#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Msg {
    /// The host's reading and revision, and the leader that it asks.
    Poll(Millis, Revision, u64),
    /// The host's reading and the leader's revision.
    Answer(Millis, Revision),
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct State {
    time: u64,
    elections: u64,
    committed: Revision,
    in_force: FreshnessTracker,
    /// Highest revision that was told as in force.
    told: Revision,
    fresh: FreshnessLease,
    held: Revision,
    net: BTreeSet<Msg>,
}

#[derive(Clone, Debug)]
pub enum Step {
    PassTime,
    Commit,
    Poll,
    Deliver(Msg),
    Lose(Msg),
    Tell,
    Elect,
}

impl FreshnessModel {
    pub fn new(fault: Option<FreshFault>) -> Self {
        Self { fault }
    }

    fn has(&self, fault: FreshFault) -> bool {
        self.fault == Some(fault)
    }

    fn tell(&self, state: &mut State) {
        // Readings ahead of the true time make the leader's lease shorter than it must be.
        let ahead = match self.fault {
            Some(FreshFault::NoDriftMargin) => {
                FRESHNESS_LEASE.lease_end().since(FRESHNESS_LEASE) + Millis(1)
            }
            _ => Millis(0),
        };
        let now = state.now() + ahead;
        let told = state.in_force.revision_in_force(now, state.committed);
        state.told = state.told.max(told);
    }
}

impl State {
    fn now(&self) -> Millis {
        Millis(self.time * QUANTUM)
    }

    fn clock(&self) -> Millis {
        Millis(100_000 + self.time * QUANTUM * 99 / 100)
    }
}

impl Model for FreshnessModel {
    type State = State;
    type Step = Step;

    fn initial(&self) -> Vec<State> {
        vec![State {
            time: 0,
            elections: 0,
            committed: Revision(0),
            in_force: FreshnessTracker::new(Millis(0)),
            told: Revision(0),
            fresh: FreshnessLease::default(),
            held: Revision(0),
            net: BTreeSet::new(),
        }]
    }

    fn steps(&self, state: &State) -> Vec<Step> {
        let mut steps = vec![Step::PassTime, Step::Commit, Step::Poll, Step::Tell];
        for msg in &state.net {
            steps.extend([Step::Deliver(msg.clone()), Step::Lose(msg.clone())]);
        }
        if state.elections == 0 {
            steps.push(Step::Elect);
        }
        steps
    }

    fn apply(&self, state: &State, step: &Step) -> Option<State> {
        let mut next = state.clone();
        let host = HostName::from("h");
        match step {
            Step::PassTime => next.time += 1,
            Step::Commit => next.committed = next.committed.next(),
            Step::Poll => {
                let clock = next.clock();
                next.fresh.is_due(clock).then_some(())?;
                next.fresh.poll_sent(clock);
                let leader = next.elections;
                next.net.insert(Msg::Poll(clock, next.held, leader));
            }
            Step::Deliver(msg) => {
                next.net.remove(msg);
                match msg {
                    // A deposed leader's own lease has ended, so it grants nothing.
                    Msg::Poll(_, _, leader) if *leader != next.elections => return None,
                    Msg::Poll(clock, revision, _) => {
                        let now = next.now();
                        next.in_force.record_poll(now, host, *revision);
                        next.net.insert(Msg::Answer(*clock, next.committed));
                    }
                    Msg::Answer(clock, revision) => {
                        next.held = next.held.max(*revision);
                        let arrived = next.clock();
                        let from = if self.has(FreshFault::FromAnswer) {
                            next.fresh.poll_sent(arrived);
                            arrived
                        } else {
                            *clock
                        };
                        next.fresh.poll_answered(from, *revision, next.held);
                    }
                }
            }
            Step::Lose(msg) => {
                next.net.remove(msg);
            }
            Step::Tell => self.tell(&mut next),
            Step::Elect => {
                next.elections += 1;
                let waited = FRESHNESS_LEASE.lease_end();
                let from = if self.has(FreshFault::NoWait) {
                    Millis(next.now().0.saturating_sub(waited.0))
                } else {
                    next.now()
                };
                next.in_force = FreshnessTracker::new(from);
            }
        }
        let within = next.time <= MOST_TIME
            && next.net.len() <= MOST_IN_FLIGHT
            && next.committed <= Revision(MOST_REVISION);
        within.then_some(next)
    }

    fn check(&self, state: &State) -> Result<(), String> {
        if state.fresh.is_fresh(state.clock()) && state.held < state.told {
            return Err(format!(
                "the host decides by revision {} although {} is told as in force",
                state.held, state.told
            ));
        }
        Ok(())
    }
}
