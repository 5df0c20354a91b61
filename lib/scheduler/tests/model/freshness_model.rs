use std::collections::BTreeSet;

use tarragon_catalogue::{FRESHNESS_LEASE, FreshnessLease, FreshnessTracker};
use tarragon_explore::Model;
use tarragon_names::{HostName, Millis, Revision};

/// True time advances in steps of this length; the lease of 2,500 ms is five steps.
const TIME_STEP_MS: u64 = 500;
const MAX_TIME_STEPS: u64 = 14;
const MAX_IN_FLIGHT: usize = 2;
const MAX_REVISION: u64 = 2;

/// A fault injected to verify that the check detects it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FreshnessFault {
    /// The host counts its lease from the arrival of the answer instead of the sending of the poll.
    FromAnswer,
    /// The leader counts the lease without clock drift and margin.
    NoDriftMargin,
    /// A new leader does not wait until the leases granted by its predecessor have ended.
    NoWait,
}

/// Model of one host, two leaders in succession and changes of the catalogue.
///
/// The host's clock runs 1% slow.
#[derive(Debug)]
pub struct FreshnessModel {
    fault: Option<FreshnessFault>,
}

#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Message {
    /// Clock reading and installed revision of the host, and the election of the polled leader.
    Poll(Millis, Revision, u64),
    /// Clock reading from the poll, and the committed revision of the leader.
    Answer(Millis, Revision),
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct State {
    time: u64,
    elections: u64,
    committed: Revision,
    in_force: FreshnessTracker,
    /// Highest revision that a leader reported as in force.
    reported: Revision,
    freshness: FreshnessLease,
    installed: Revision,
    in_flight: BTreeSet<Message>,
}

#[derive(Clone, Debug)]
pub enum Step {
    PassTime,
    Commit,
    Poll,
    Deliver(Message),
    Lose(Message),
    ReportInForce,
    Elect,
}

impl FreshnessModel {
    pub fn new(fault: Option<FreshnessFault>) -> Self {
        Self { fault }
    }

    fn has(&self, fault: FreshnessFault) -> bool {
        self.fault == Some(fault)
    }

    fn report_in_force(&self, state: &mut State) {
        // A clock ahead of the true time ends the leases too early for the leader.
        let offset = match self.fault {
            Some(FreshnessFault::NoDriftMargin) => {
                FRESHNESS_LEASE.with_clock_margin().since(FRESHNESS_LEASE) + Millis(1)
            }
            _ => Millis(0),
        };
        let now = state.now() + offset;
        let reported = state.in_force.revision_in_force(now, state.committed);
        state.reported = state.reported.max(reported);
    }
}

impl State {
    fn now(&self) -> Millis {
        Millis(self.time * TIME_STEP_MS)
    }

    fn clock(&self) -> Millis {
        Millis(100_000 + self.time * TIME_STEP_MS * 99 / 100)
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
            reported: Revision(0),
            freshness: FreshnessLease::default(),
            installed: Revision(0),
            in_flight: BTreeSet::new(),
        }]
    }

    fn steps(&self, state: &State) -> Vec<Step> {
        let mut steps = vec![
            Step::PassTime,
            Step::Commit,
            Step::Poll,
            Step::ReportInForce,
        ];
        for message in &state.in_flight {
            steps.extend([Step::Deliver(message.clone()), Step::Lose(message.clone())]);
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
                next.freshness.is_due(clock).then_some(())?;
                next.freshness.poll_sent(clock);
                let leader = next.elections;
                next.in_flight
                    .insert(Message::Poll(clock, next.installed, leader));
            }
            Step::Deliver(message) => {
                next.in_flight.remove(message);
                match message {
                    // A deposed leader's own lease has ended, so it grants nothing.
                    Message::Poll(_, _, leader) if *leader != next.elections => return None,
                    Message::Poll(clock, revision, _) => {
                        let now = next.now();
                        next.in_force.record_poll(now, host, *revision);
                        next.in_flight
                            .insert(Message::Answer(*clock, next.committed));
                    }
                    Message::Answer(clock, revision) => {
                        next.installed = next.installed.max(*revision);
                        let arrived = next.clock();
                        let from = if self.has(FreshnessFault::FromAnswer) {
                            next.freshness.poll_sent(arrived);
                            arrived
                        } else {
                            *clock
                        };
                        next.freshness
                            .poll_answered(from, *revision, next.installed);
                    }
                }
            }
            Step::Lose(message) => {
                next.in_flight.remove(message);
            }
            Step::ReportInForce => self.report_in_force(&mut next),
            Step::Elect => {
                next.elections += 1;
                let wait = FRESHNESS_LEASE.with_clock_margin();
                let from = if self.has(FreshnessFault::NoWait) {
                    Millis(next.now().0.saturating_sub(wait.0))
                } else {
                    next.now()
                };
                next.in_force = FreshnessTracker::new(from);
            }
        }
        let within = next.time <= MAX_TIME_STEPS
            && next.in_flight.len() <= MAX_IN_FLIGHT
            && next.committed <= Revision(MAX_REVISION);
        within.then_some(next)
    }

    fn check(&self, state: &State) -> Result<(), String> {
        if state.freshness.is_fresh(state.clock()) && state.installed < state.reported {
            return Err(format!(
                "the host decides by revision {} although {} is reported as in force",
                state.installed, state.reported
            ));
        }
        Ok(())
    }
}
