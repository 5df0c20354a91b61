//! Model check of slot shares: one executor, two homes, delayed and lost announcements.

mod common;

use common::announcement;
use tarragon_explore::{Explorer, Model, StopReason};
use tarragon_names::Millis;
use tarragon_routing::{Announcement, HomeExecutor, RequestEnd, RoutingConfig, Running};
use yare::parameterized;

/// Lease of the model in ticks; the rules only compare times, so small numbers are enough.
const LEASE: u64 = 1;

/// Ticks that the model runs.
const TICKS: u64 = 8;

/// Moves of the executor to the other home.
const MOVES: u8 = 2;

/// Steps by which the executor gets its first home, so that the search begins behind them.
const JOIN: [Step; 8] = [
    Step::Announce,
    Step::Deliver(0),
    Step::Tick,
    Step::Tick,
    Step::Announce,
    Step::Deliver(0),
    Step::Announce,
    Step::Deliver(0),
];

/// Announcements on their way at a time.
const ON_THE_WAY: usize = 2;

/// A fault that is planted to see that the check finds it.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    None,
    /// The lease runs from the arrival of an announcement.
    LeaseFromArrival,
    /// A newcomer gets requests at once.
    NoWaitForNewcomers,
    /// A request whose connection ended frees its slot.
    LostFreesSlot,
}

#[derive(Clone, Eq, Hash, PartialEq)]
struct State {
    now: Millis,
    homes: [Option<HomeExecutor>; 2],
    /// Home that the executor announces itself to.
    home: usize,
    echo: Option<u64>,
    /// Stay, home and content. A stay begins with each move; an executor uses no reading from an
    /// answer to an announcement of an earlier stay.
    on_the_way: Vec<(u8, usize, Announcement, [Running; 2])>,
    stay: u8,
    /// Requests that run: home, number, and whether the home still waits for the answer.
    running: Vec<(usize, u64, bool)>,
    sent: u64,
    left_at: Option<Millis>,
    sent_after_leave: bool,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Step {
    Tick,
    Announce,
    Deliver(usize),
    Lose(usize),
    MoveHome,
    Leave,
    Send(usize),
    Answer(usize),
    ConnectionEnds(usize),
    OrphanEnds,
}

struct Shares {
    fault: Fault,
    leaves: bool,
    /// Whether the executor lists its requests.
    lists: bool,
}

impl Shares {
    fn cfg(&self) -> RoutingConfig {
        RoutingConfig {
            executor_lease: Millis(LEASE),
            // One tick stands for drift and margin.
            newcomer_wait: Millis(match self.fault {
                Fault::NoWaitForNewcomers => 0,
                _ => LEASE + 1,
            }),
            avoid_first: Millis(0),
            avoid_max: Millis(0),
            ..RoutingConfig::default()
        }
    }

    fn deliver(&self, state: &mut State, at: usize) {
        let (stay, home, announced, lists) = state.on_the_way.remove(at);
        let now = state.now;
        let echo = announced.echo.map(|echo| match self.fault {
            Fault::LeaseFromArrival => now,
            _ => Millis(echo),
        });
        match &mut state.homes[home] {
            Some(known) => {
                let running = self.lists.then_some(&lists[home]);
                known.announce(announced, echo, running, now, &self.cfg());
            }
            unknown => *unknown = Some(HomeExecutor::new(announced, now, &self.cfg())),
        }
        if state.stay == stay {
            state.echo = Some(now.0);
        }
    }

    fn end(&self, state: &mut State, home: usize, answered: bool) -> Option<()> {
        let at = state
            .running
            .iter()
            .position(|(by, _, awaited)| *by == home && *awaited)?;
        let number = state.running[at].1;
        let end = if answered || self.fault == Fault::LostFreesSlot {
            RequestEnd::Answered
        } else {
            RequestEnd::Lost
        };
        if answered {
            state.running.remove(at);
        } else {
            state.running[at].2 = false;
        }
        let (now, cfg) = (state.now, self.cfg());
        state.homes[home].as_mut()?.finish(number, end, now, &cfg);
        Some(())
    }
}

impl Model for Shares {
    type State = State;
    type Step = Step;

    fn initial(&self) -> Vec<State> {
        let alone = State {
            now: Millis(0),
            homes: [None, None],
            home: 0,
            echo: None,
            on_the_way: Vec::new(),
            stay: 0,
            running: Vec::new(),
            sent: 0,
            left_at: None,
            sent_after_leave: false,
        };
        let joined = JOIN
            .iter()
            .try_fold(alone.clone(), |state, step| self.apply(&state, step));
        joined.into_iter().chain([alone]).collect()
    }

    fn steps(&self, state: &State) -> Vec<Step> {
        let mut steps = vec![Step::Tick, Step::OrphanEnds, Step::MoveHome];
        if self.leaves {
            steps.push(Step::Leave);
        }
        if state.on_the_way.len() < ON_THE_WAY {
            steps.push(Step::Announce);
        }
        for at in 0..state.on_the_way.len() {
            steps.extend([Step::Deliver(at), Step::Lose(at)]);
        }
        for home in 0..2 {
            steps.extend([
                Step::Send(home),
                Step::Answer(home),
                Step::ConnectionEnds(home),
            ]);
        }
        steps
    }

    fn apply(&self, state: &State, step: &Step) -> Option<State> {
        let mut next = state.clone();
        match *step {
            Step::Tick => {
                next.now = state.now + Millis(1);
                (next.now <= Millis(TICKS)).then_some(())?;
            }
            Step::Announce => {
                let busy = state.running.len() as u32;
                let announced = Announcement {
                    slots: 1,
                    leaving: state.left_at.is_some(),
                    ..announcement("e1", busy, state.echo)
                };
                let lists = [0, 1].map(|home| {
                    let own = state.running.iter().filter(|(by, ..)| *by == home);
                    let own = own.map(|(_, number, _)| *number).collect::<Vec<_>>();
                    Running {
                        others: busy - own.len() as u32,
                        own,
                    }
                });
                next.on_the_way
                    .push((state.stay, state.home, announced, lists));
            }
            Step::Deliver(at) => self.deliver(&mut next, at),
            Step::Lose(at) => {
                next.on_the_way.remove(at);
            }
            Step::MoveHome => {
                (state.stay < MOVES).then_some(())?;
                next.stay += 1;
                next.home = 1 - state.home;
                next.echo = None;
            }
            Step::Leave => {
                state.left_at.is_none().then_some(())?;
                next.left_at = Some(state.now);
            }
            Step::Send(home) => {
                let now = state.now;
                next.homes[home].as_mut()?.take(now).then_some(())?;
                next.sent += 1;
                next.running.push((home, next.sent, true));
                let end = state.left_at.map(|at| at + Millis(LEASE));
                next.sent_after_leave |= end.is_some_and(|end| now > end);
            }
            Step::Answer(home) => self.end(&mut next, home, true)?,
            Step::ConnectionEnds(home) => self.end(&mut next, home, false)?,
            Step::OrphanEnds => {
                let at = state.running.iter().position(|(.., awaited)| !awaited)?;
                next.running.remove(at);
            }
        }
        Some(next)
    }

    fn check(&self, state: &State) -> Result<(), String> {
        if state.running.len() > 1 {
            return Err(format!("{} requests run in 1 slot", state.running.len()));
        }
        if state.sent_after_leave {
            return Err("a request was sent after the leave and the lease".to_owned());
        }
        Ok(())
    }
}

/// Guards against two homes using the same slot, and against work for an executor that has left.
#[parameterized(
    counted = { false, false },
    counted_and_leaves = { true, false },
    listed = { false, true },
    listed_and_leaves = { true, true },
)]
fn slots_are_never_shared(leaves: bool, lists: bool) {
    let report = Explorer {
        max_states: 150_000,
        max_depth: 26,
    }
    .run(
        "slot shares",
        &Shares {
            fault: Fault::None,
            leaves,
            lists,
        },
    );
    assert_eq!(report.violation, None);
    assert!(report.depth >= 9, "the search ended too early: {report}");
}

/// Guards against a check that would not notice a broken rule.
#[parameterized(
    lease_from_arrival = { Fault::LeaseFromArrival, true },
    no_wait_for_newcomers = { Fault::NoWaitForNewcomers, false },
    lost_frees_slot = { Fault::LostFreesSlot, false },
)]
fn planted_fault_is_found(fault: Fault, leaves: bool) {
    let report = Explorer {
        max_states: 1_000_000,
        max_depth: 30,
    }
    .run(
        &format!("slot shares, {fault:?}"),
        &Shares {
            fault,
            leaves,
            lists: true,
        },
    );
    assert_eq!(report.stop_reason, StopReason::Violation);
}
