//! Model check of slot accounting: an executor with one slot moves between two home hosts while
//! announcements are delayed or lost.

mod common;

use common::announcement;
use tarragon_explore::{Explorer, Model, StopReason};
use tarragon_names::Millis;
use tarragon_routing::{
    Announcement, RegisteredExecutor, RequestEnd, RoutingConfig, RunningRequests,
};
use yare::parameterized;

/// Lease in ticks of the model. The code only compares times, so small numbers are enough.
const LEASE_TICKS: u64 = 1;

/// Ticks for which the model runs.
const MAX_TICKS: u64 = 8;

/// Maximum number of moves of the executor to the other home host.
const MAX_MOVES: u8 = 2;

/// Steps with which the executor joins its first home host. The search also starts from the state
/// after these steps, so that it reaches deeper.
const JOIN_STEPS: [Step; 8] = [
    Step::Announce,
    Step::DeliverAnnouncement(0),
    Step::Tick,
    Step::Tick,
    Step::Announce,
    Step::DeliverAnnouncement(0),
    Step::Announce,
    Step::DeliverAnnouncement(0),
];

/// Maximum number of announcements in flight at a time.
const MAX_IN_FLIGHT: usize = 2;

/// A fault injected into the model to verify that the check detects it.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    None,
    /// The lease runs from the arrival of an announcement instead of the echoed clock reading.
    LeaseFromArrival,
    /// A joining executor gets requests without the join delay.
    NoJoinDelay,
    /// The end of a connection frees the slot although the request may still run.
    LostFreesSlot,
}

#[derive(Clone, Eq, Hash, PartialEq)]
struct State {
    now: Millis,
    home_hosts: [Option<RegisteredExecutor>; 2],
    /// Home host to which the executor announces itself.
    home_host: usize,
    echoed_clock: Option<u64>,
    /// Announcements in flight: number of the registration, home host, content, and the list of
    /// running requests as each home host would read it.
    ///
    /// Each move begins a new registration. The executor ignores the clock reading in a reply to an
    /// announcement of an earlier registration.
    in_flight: Vec<(u8, usize, Announcement, [RunningRequests; 2])>,
    registration: u8,
    /// Running requests: home host, number, and whether the home host waits for the response.
    running: Vec<(usize, u64, bool)>,
    last_request_number: u64,
    left_at: Option<Millis>,
    sent_after_leave: bool,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Step {
    Tick,
    Announce,
    DeliverAnnouncement(usize),
    LoseAnnouncement(usize),
    ChangeHomeHost,
    Leave,
    SendRequest(usize),
    Answer(usize),
    CloseConnection(usize),
    /// A request whose connection was closed ends in the executor.
    EndLostRequest,
}

struct SlotModel {
    fault: Fault,
    can_leave: bool,
    /// Whether announcements list the running requests.
    lists_requests: bool,
}

impl SlotModel {
    fn cfg(&self) -> RoutingConfig {
        RoutingConfig {
            executor_lease: Millis(LEASE_TICKS),
            // One tick represents the clock drift and the safety margin.
            join_delay: Millis(match self.fault {
                Fault::NoJoinDelay => 0,
                _ => LEASE_TICKS + 1,
            }),
            avoidance_min: Millis(0),
            avoidance_max: Millis(0),
            ..RoutingConfig::default()
        }
    }

    fn deliver_announcement(&self, state: &mut State, index: usize) {
        let (registration, home_host, announcement, lists) = state.in_flight.remove(index);
        let now = state.now;
        let echoed_clock = announcement.echoed_clock.map(|echoed| match self.fault {
            Fault::LeaseFromArrival => now,
            _ => Millis(echoed),
        });
        match &mut state.home_hosts[home_host] {
            Some(known) => {
                let running = self.lists_requests.then_some(&lists[home_host]);
                known.announce(announcement, echoed_clock, running, now, &self.cfg());
            }
            unknown => *unknown = Some(RegisteredExecutor::new(announcement, now, &self.cfg())),
        }
        if state.registration == registration {
            state.echoed_clock = Some(now.0);
        }
    }

    fn end_request(&self, state: &mut State, home_host: usize, is_answered: bool) -> Option<()> {
        let index = state
            .running
            .iter()
            .position(|(sender, _, awaited)| *sender == home_host && *awaited)?;
        let number = state.running[index].1;
        let end = if is_answered || self.fault == Fault::LostFreesSlot {
            RequestEnd::Answered
        } else {
            RequestEnd::Lost
        };
        if is_answered {
            state.running.remove(index);
        } else {
            state.running[index].2 = false;
        }
        let (now, cfg) = (state.now, self.cfg());
        state.home_hosts[home_host]
            .as_mut()?
            .release_slot(number, end, now, &cfg);
        Some(())
    }
}

impl Model for SlotModel {
    type State = State;
    type Step = Step;

    fn initial(&self) -> Vec<State> {
        let unregistered = State {
            now: Millis(0),
            home_hosts: [None, None],
            home_host: 0,
            echoed_clock: None,
            in_flight: Vec::new(),
            registration: 0,
            running: Vec::new(),
            last_request_number: 0,
            left_at: None,
            sent_after_leave: false,
        };
        let joined = JOIN_STEPS
            .iter()
            .try_fold(unregistered.clone(), |state, step| self.apply(&state, step));
        joined.into_iter().chain([unregistered]).collect()
    }

    fn steps(&self, state: &State) -> Vec<Step> {
        let mut steps = vec![Step::Tick, Step::EndLostRequest, Step::ChangeHomeHost];
        if self.can_leave {
            steps.push(Step::Leave);
        }
        if state.in_flight.len() < MAX_IN_FLIGHT {
            steps.push(Step::Announce);
        }
        for index in 0..state.in_flight.len() {
            steps.extend([
                Step::DeliverAnnouncement(index),
                Step::LoseAnnouncement(index),
            ]);
        }
        for home_host in 0..2 {
            steps.extend([
                Step::SendRequest(home_host),
                Step::Answer(home_host),
                Step::CloseConnection(home_host),
            ]);
        }
        steps
    }

    fn apply(&self, state: &State, step: &Step) -> Option<State> {
        let mut next = state.clone();
        match *step {
            Step::Tick => {
                next.now = state.now + Millis(1);
                (next.now <= Millis(MAX_TICKS)).then_some(())?;
            }
            Step::Announce => {
                let busy = state.running.len() as u32;
                let announcement = Announcement {
                    slots: 1,
                    leaving: state.left_at.is_some(),
                    ..announcement("e1", busy, state.echoed_clock)
                };
                let lists = [0, 1].map(|home_host| {
                    let own = state
                        .running
                        .iter()
                        .filter(|(sender, ..)| *sender == home_host);
                    let own = own.map(|(_, number, _)| *number).collect::<Vec<_>>();
                    RunningRequests {
                        others: busy - own.len() as u32,
                        own,
                    }
                });
                next.in_flight
                    .push((state.registration, state.home_host, announcement, lists));
            }
            Step::DeliverAnnouncement(index) => self.deliver_announcement(&mut next, index),
            Step::LoseAnnouncement(index) => {
                next.in_flight.remove(index);
            }
            Step::ChangeHomeHost => {
                (state.registration < MAX_MOVES).then_some(())?;
                next.registration += 1;
                next.home_host = 1 - state.home_host;
                next.echoed_clock = None;
            }
            Step::Leave => {
                state.left_at.is_none().then_some(())?;
                next.left_at = Some(state.now);
            }
            Step::SendRequest(home_host) => {
                let now = state.now;
                next.home_hosts[home_host]
                    .as_mut()?
                    .acquire_slot(now)
                    .then_some(())?;
                next.last_request_number += 1;
                next.running
                    .push((home_host, next.last_request_number, true));
                let lease_end = state.left_at.map(|at| at + Millis(LEASE_TICKS));
                next.sent_after_leave |= lease_end.is_some_and(|end| now > end);
            }
            Step::Answer(home_host) => self.end_request(&mut next, home_host, true)?,
            Step::CloseConnection(home_host) => self.end_request(&mut next, home_host, false)?,
            Step::EndLostRequest => {
                let index = state.running.iter().position(|(.., awaited)| !awaited)?;
                next.running.remove(index);
            }
        }
        Some(next)
    }

    fn check(&self, state: &State) -> Result<(), String> {
        if state.running.len() > 1 {
            return Err(format!("{} requests run in 1 slot", state.running.len()));
        }
        if state.sent_after_leave {
            return Err(
                "a request was sent more than one lease after the executor began to leave"
                    .to_owned(),
            );
        }
        Ok(())
    }
}

/// Guards against two home hosts using the same slot, and against requests to an executor that has
/// left.
#[parameterized(
    busy_count = { false, false },
    busy_count_and_leave = { true, false },
    request_list = { false, true },
    request_list_and_leave = { true, true },
)]
fn slot_is_used_by_one_request_at_a_time(can_leave: bool, lists_requests: bool) {
    let report = Explorer {
        max_states: 150_000,
        max_depth: 26,
    }
    .run(
        "slot shares",
        &SlotModel {
            fault: Fault::None,
            can_leave,
            lists_requests,
        },
    );
    assert_eq!(report.violation, None);
    assert!(
        report.depth >= 9,
        "search should reach a depth of 9: {report}"
    );
}

/// Guards against a check that does not detect violations.
#[parameterized(
    lease_from_arrival = { Fault::LeaseFromArrival, true },
    no_join_delay = { Fault::NoJoinDelay, false },
    lost_request_frees_slot = { Fault::LostFreesSlot, false },
)]
fn injected_fault_is_found(fault: Fault, can_leave: bool) {
    let report = Explorer {
        max_states: 1_000_000,
        max_depth: 30,
    }
    .run(
        &format!("slot shares, {fault:?}"),
        &SlotModel {
            fault,
            can_leave,
            lists_requests: true,
        },
    );
    assert_eq!(report.stop_reason, StopReason::Violation);
}
