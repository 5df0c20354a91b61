use std::collections::BTreeSet;

use tarragon_cell::{JobRecord, JobState};
use tarragon_explore::Model;
use tarragon_leases::{
    GuardConfig, GuardEvent, HeartbeatOutcome, LeaseGuard, TaskEnd, WorkerLeases, WorkerOrder,
};
use tarragon_names::{Attempt, Fence, Millis, Resources, Term};

use super::{
    lease_message::{EndKind, Message, Order, Report},
    lease_state::{Outcome, Record, State, TASK, ended, name, spec},
};

/// Lease of a worker, two time steps.
const LEASE: Millis = Millis(2_000);

/// Lease whose end with clock drift and margin equals `LEASE`, so that a leader with this lease
/// counts `LEASE` without them.
const LEASE_WITHOUT_DRIFT: Millis = Millis(1_782);

/// Bound on the time steps of a run.
const MAX_TIME_STEPS: u64 = 4;

/// Bound on the messages in flight.
const MAX_IN_FLIGHT: usize = 3;

/// Bound on the attempts of the task.
const MAX_ATTEMPTS: u32 = 2;

/// Bound on the messages that are delivered twice in a run.
const MAX_REPEATS: u8 = 1;

/// A fault injected to verify that the check detects it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LeaseFault {
    /// The leader counts the lease without clock drift and margin.
    DriftIgnored,
    /// The worker does not check the session and the term of a start order.
    FenceIgnored,
    /// The leader releases the task of a silent worker before its lease has ended.
    ReleasedWithoutWaiting,
    /// A deposed leader continues to answer registrations and heartbeats.
    LeaderLeaseIgnored,
    /// The leader records an attempt as never begun without a report of the worker: one that the
    /// first heartbeat does not list, or that a stop was sent for.
    AssumedNeverBegan,
}

/// Model of one task, one or two workers and two leaders in succession.
///
/// A worker that takes no step while time passes is paused. A message that stays in flight is lost.
#[derive(Debug)]
pub struct LeaseModel {
    workers: usize,
    cancel: bool,
    fault: Option<LeaseFault>,
}

#[derive(Clone, Debug)]
pub enum Step {
    PassTime,
    Tick(usize),
    /// Deliver a message. The number chooses the leader that receives a report.
    Deliver(Message, usize),
    /// Deliver a message and keep a copy in flight.
    Repeat(Message, usize),
    Lose(Message),
    Assign(usize),
    Stop,
    Expire,
    Finish(usize),
    Cancel,
    Elect,
}

impl LeaseModel {
    pub fn new(workers: usize) -> Self {
        Self {
            workers,
            cancel: false,
            fault: None,
        }
    }

    pub fn with_cancel(mut self) -> Self {
        self.cancel = true;
        self
    }

    pub fn with_fault(mut self, fault: LeaseFault) -> Self {
        self.fault = Some(fault);
        self
    }

    fn has(&self, fault: LeaseFault) -> bool {
        self.fault == Some(fault)
    }

    fn leases(&self, term: u64) -> WorkerLeases {
        let lease = if self.has(LeaseFault::DriftIgnored) {
            LEASE_WITHOUT_DRIFT
        } else {
            LEASE
        };
        WorkerLeases::new(Term(term), lease)
    }

    /// Handles the report of a worker at a leader.
    fn on_report(&self, state: &mut State, leader: usize, worker: usize, report: &Report) {
        let is_current = leader + 1 == state.leaders.len();
        let (now, name) = (state.now(), name(worker));
        let term = state.leaders[leader].term();
        // The lease of a deposed leader ended before the election of the next one.
        let may_answer = is_current || self.has(LeaseFault::LeaderLeaseIgnored);
        match report {
            Report::Register(clock) if may_answer => {
                let session = state.leaders[leader].register(now, &name);
                state.send(Message::ToWorker(
                    worker,
                    Order::Welcome(term, session, *clock),
                ));
            }
            Report::Heartbeat(session, clock, running) if may_answer => {
                let beat = state.leaders[leader].heartbeat(now, &name, *session);
                let order = match beat {
                    HeartbeatOutcome::Unknown => Order::UnknownSession(term),
                    _ => Order::HeartbeatReply(term, *session, *clock),
                };
                state.send(Message::ToWorker(worker, order));
                if beat == HeartbeatOutcome::Confirmed && is_current {
                    self.confirm(state, worker, *running);
                }
            }
            Report::Ended(attempt, end_kind) if is_current => {
                state.append_end(*attempt, Outcome::Reported(*end_kind));
                state.send(Message::ToWorker(worker, Order::EndRecorded(*attempt)));
            }
            _ => {}
        }
    }

    /// Releases an assigned task that the first heartbeat of a session does not list.
    fn confirm(&self, state: &mut State, worker: usize, running: Option<Attempt>) {
        if let Some((attempt, assigned_worker)) = state.assigned()
            && assigned_worker == worker
            && running != Some(attempt)
        {
            let outcome = if self.has(LeaseFault::AssumedNeverBegan) {
                Outcome::Reported(EndKind::NeverBegan)
            } else {
                Outcome::LeaseEnded
            };
            state.append_end(attempt, outcome);
        }
    }

    /// Handles an order at a worker.
    fn on_order(&self, state: &mut State, worker: usize, order: &Order) {
        let order = match order.clone() {
            Order::Start(mut fence, attempt) => {
                if self.has(LeaseFault::FenceIgnored)
                    && let Some(session) = state.guards[worker].session()
                {
                    fence = Fence {
                        term: Term(u64::MAX - 1),
                        session,
                        seq: 0,
                    };
                }
                WorkerOrder::Start {
                    fence,
                    task: TASK,
                    attempt,
                    spec: spec(),
                }
            }
            Order::Stop(fence, attempt) => WorkerOrder::Stop {
                fence,
                task: TASK,
                attempt,
            },
            Order::Welcome(term, session, clock) => WorkerOrder::Welcome {
                term,
                session,
                clock,
                lease: LEASE,
            },
            Order::HeartbeatReply(term, session, clock) => WorkerOrder::HeartbeatReply {
                term,
                session,
                clock,
                lease: LEASE,
            },
            Order::UnknownSession(term) => WorkerOrder::UnknownSession { term },
            Order::EndRecorded(attempt) => WorkerOrder::EndRecorded {
                task: TASK,
                attempt,
            },
        };
        state.step_guard(worker, GuardEvent::Order(order));
    }

    fn deliver(&self, state: &mut State, message: &Message, leader: usize) {
        match message {
            Message::ToLeader(worker, report) => self.on_report(state, leader, *worker, report),
            Message::ToWorker(worker, order) => self.on_order(state, *worker, order),
        }
    }

    /// Sends a stop order of the current leader for the assigned task of a cancelled job.
    fn stop(&self, state: &mut State) -> Option<()> {
        let (attempt, worker) = state.assigned()?;
        let fence = state.fence(worker)?;
        if self.has(LeaseFault::AssumedNeverBegan) {
            state.append_end(attempt, Outcome::Reported(EndKind::NeverBegan));
        }
        state.send(Message::ToWorker(worker, Order::Stop(fence, attempt)));
        Some(())
    }

    fn expire(&self, state: &mut State) -> Option<()> {
        let now = state.now();
        let expired = if self.has(LeaseFault::ReleasedWithoutWaiting) {
            (0..self.workers).map(name).collect()
        } else {
            state.leaders.last_mut()?.expire(now)
        };
        let (attempt, assigned_worker) = state.assigned()?;
        expired.contains(&name(assigned_worker)).then_some(())?;
        state.append_end(attempt, Outcome::LeaseEnded);
        Some(())
    }
}

impl Model for LeaseModel {
    type State = State;
    type Step = Step;

    fn initial(&self) -> Vec<State> {
        let guard = |worker| {
            let cfg = GuardConfig::new(name(worker), "d".into(), "r".into(), Resources::ZERO);
            LeaseGuard::new(cfg)
        };
        let mut state = State {
            time: 0,
            log: Vec::new(),
            leaders: vec![self.leases(1)],
            guards: (0..self.workers).map(guard).collect(),
            in_flight: BTreeSet::new(),
            repeats: 0,
            has_begun: false,
        };
        // Grants the first sessions without faults, to leave more of the bounds to later steps.
        for worker in 0..self.workers {
            state.step_guard(worker, GuardEvent::Tick);
            for _ in 0..4 {
                for message in std::mem::take(&mut state.in_flight) {
                    self.deliver(&mut state, &message, 0);
                }
            }
        }
        vec![state]
    }

    fn steps(&self, state: &State) -> Vec<Step> {
        let mut steps = vec![Step::PassTime, Step::Expire];
        for message in &state.in_flight {
            let leaders = match message {
                Message::ToLeader(..) => state.leaders.len(),
                Message::ToWorker(..) => 1,
            };
            for leader in 0..leaders {
                steps.push(Step::Deliver(message.clone(), leader));
                if state.repeats < MAX_REPEATS {
                    steps.push(Step::Repeat(message.clone(), leader));
                }
            }
            if state.in_flight.len() == MAX_IN_FLIGHT {
                steps.push(Step::Lose(message.clone()));
            }
        }
        for worker in 0..self.workers {
            steps.extend([
                Step::Tick(worker),
                Step::Assign(worker),
                Step::Finish(worker),
            ]);
        }
        if self.cancel {
            steps.extend([Step::Cancel, Step::Stop]);
        }
        if state.leaders.len() == 1 {
            steps.push(Step::Elect);
        }
        steps
    }

    fn apply(&self, state: &State, step: &Step) -> Option<State> {
        let mut next = state.clone();
        match step {
            Step::PassTime => next.time += 1,
            Step::Tick(worker) => next.step_guard(*worker, GuardEvent::Tick),
            Step::Deliver(message, leader) => {
                next.in_flight.remove(message);
                self.deliver(&mut next, message, *leader);
            }
            Step::Repeat(message, leader) => {
                next.repeats += 1;
                self.deliver(&mut next, message, *leader);
            }
            Step::Lose(message) => {
                next.in_flight.remove(message);
            }
            Step::Assign(worker) => {
                let attempt = next.job(|job| job.waiting_tasks().next())?.1;
                let now = next.now();
                let leader = next.leaders.last()?;
                leader.may_run(now, &name(*worker)).then_some(())?;
                let fence = next.fence(*worker)?;
                (attempt <= Attempt(MAX_ATTEMPTS)).then_some(())?;
                next.log.push(Record::Assign(attempt, *worker));
                next.send(Message::ToWorker(*worker, Order::Start(fence, attempt)));
            }
            Step::Stop => {
                next.log.contains(&Record::Cancel).then_some(())?;
                self.stop(&mut next)?;
            }
            Step::Expire => self.expire(&mut next)?,
            Step::Finish(worker) => {
                let (_, attempt) = next.guards[*worker].running().next()?;
                next.step_guard(*worker, ended(attempt, TaskEnd::Exited(0)));
            }
            Step::Cancel => {
                (!next.log.contains(&Record::Cancel)).then_some(())?;
                next.log.push(Record::Cancel);
            }
            Step::Elect => {
                let now = next.now();
                let mut leases = self.leases(2);
                if let Some((_, assigned_worker)) = next.assigned() {
                    leases.inherit(now, name(assigned_worker));
                }
                next.leaders.push(leases);
            }
        }
        let within = next.time <= MAX_TIME_STEPS && next.in_flight.len() <= MAX_IN_FLIGHT;
        within.then_some(next)
    }

    fn check(&self, state: &State) -> Result<(), String> {
        let running_attempts = state.running_attempts();
        if running_attempts.len() > 1 {
            return Err("the task runs on two workers".to_owned());
        }
        // Stricter than the check above, and reached earlier: after the release the next attempt
        // could start at once.
        if running_attempts
            .first()
            .is_some_and(|running| Some(*running) != state.assigned())
        {
            return Err("the task was released and still runs".to_owned());
        }
        if state.has_begun && state.job(JobRecord::state) == JobState::NotRun {
            return Err("the job is reported as not run, but its task began".to_owned());
        }
        Ok(())
    }
}
