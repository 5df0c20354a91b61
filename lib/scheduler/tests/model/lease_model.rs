use std::collections::BTreeSet;

use tarragon_catalogue::{CatalogueEntry, Limits};
use tarragon_cell::{AttemptEnd, Cell, Command, JobRecord, JobSpec, JobState};
use tarragon_explore::Model;
use tarragon_leases::{
    Beat, GuardAction, GuardConfig, GuardEvent, LeaseGuard, RunningTask, TaskEnd, TaskSpec,
    WorkerLeases, WorkerOrder, WorkerReport,
};
use tarragon_names::{
    Attempt, Class, Fence, JobId, LogIndex, Millis, Resources, Revision, Session, TaskId, Term,
    WorkerName, Workload,
};

/// True time passes in these steps; the lease is two of them.
const QUANTUM: u64 = 1_000;
const LEASE: Millis = Millis(2_000);
/// A lease whose end, with drift and margin, is just `LEASE`.
const LEASE_LESS_DRIFT: Millis = Millis(1_782);
const MOST_TIME: u64 = 4;
const MOST_IN_FLIGHT: usize = 3;
const MOST_ATTEMPTS: u32 = 2;
const MOST_REPEATS: u8 = 1;

const JOB: JobId = JobId(2);
const TASK: TaskId = TaskId { job: JOB, index: 0 };

/// A fault planted to see that the check finds it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LeaseFault {
    /// The leader counts the lease without drift and margin.
    DriftIgnored,
    /// The worker does not compare the session and the term of a start.
    FenceIgnored,
    /// The leader releases the task of a silent worker at once.
    ReleasedAtOnce,
    /// A deposed leader goes on answering heartbeats.
    LeaderLeaseIgnored,
    /// The leader takes a start that was not listed as one that never began.
    AssumedNeverBegan,
}

/// One task, one or two workers and two leaders in turn.
///
/// A worker that takes no step while time passes is a paused one. A message in flight that is
/// never delivered is a lost one.
#[derive(Debug)]
pub struct LeaseModel {
    workers: usize,
    cancel: bool,
    fault: Option<LeaseFault>,
}

/// What a worker says, without what the model does not need.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Said {
    Register(Millis),
    Heartbeat(Session, Millis, Option<Attempt>),
    Ended(Attempt, Ending),
}

/// `TaskEnd` with an order.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Ending {
    Exited,
    Stopped,
    NeverBegan,
}

/// What a leader orders.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Ordered {
    Welcome(Term, Session, Millis),
    Reply(Term, Session, Millis),
    Unknown(Term),
    Start(Fence, Attempt),
    Stop(Fence, Attempt),
    Recorded(Attempt),
}

#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Msg {
    Up(usize, Said),
    Down(usize, Ordered),
}

/// A record of the log.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
enum Record {
    Assign(Attempt, usize),
    End(Attempt, Outcome),
    Cancel,
}

#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
enum Outcome {
    Reported(Ending),
    LeaseEnded,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct State {
    time: u64,
    log: Vec<Record>,
    leaders: Vec<WorkerLeases>,
    guards: Vec<LeaseGuard>,
    net: BTreeSet<Msg>,
    repeats: u8,
    began: bool,
}

#[derive(Clone, Debug)]
pub enum Step {
    PassTime,
    Tick(usize),
    /// Deliver a message, to a leader by its number.
    Deliver(Msg, usize),
    /// Deliver a message and keep a copy in flight.
    Repeat(Msg, usize),
    Lose(Msg),
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
            LEASE_LESS_DRIFT
        } else {
            LEASE
        };
        WorkerLeases::new(Term(term), lease)
    }

    /// Takes a worker's message at a leader.
    fn at_leader(&self, state: &mut State, leader: usize, worker: usize, said: &Said) {
        let current = leader + 1 == state.leaders.len();
        let (now, name) = (state.now(), name(worker));
        let term = state.leaders[leader].term();
        // A deposed leader's own lease ended before the election.
        let answers = current || self.has(LeaseFault::LeaderLeaseIgnored);
        match said {
            Said::Register(clock) if answers => {
                let session = state.leaders[leader].register(now, &name);
                state.send(Msg::Down(worker, Ordered::Welcome(term, session, *clock)));
            }
            Said::Heartbeat(session, clock, running) if answers => {
                let beat = state.leaders[leader].heartbeat(now, &name, *session);
                let order = match beat {
                    Beat::Unknown => Ordered::Unknown(term),
                    _ => Ordered::Reply(term, *session, *clock),
                };
                state.send(Msg::Down(worker, order));
                if beat == Beat::Confirmed && current {
                    self.confirm(state, worker, *running);
                }
            }
            Said::Ended(attempt, ending) if current => {
                state.end(*attempt, Outcome::Reported(*ending));
                state.send(Msg::Down(worker, Ordered::Recorded(*attempt)));
            }
            _ => {}
        }
    }

    /// Releases an assigned task that the first heartbeat of a session does not list.
    fn confirm(&self, state: &mut State, worker: usize, running: Option<Attempt>) {
        if let Some((attempt, holder)) = state.assigned()
            && holder == worker
            && running != Some(attempt)
        {
            let outcome = if self.has(LeaseFault::AssumedNeverBegan) {
                Outcome::Reported(Ending::NeverBegan)
            } else {
                Outcome::LeaseEnded
            };
            state.end(attempt, outcome);
        }
    }

    /// Takes an order at a worker.
    fn at_worker(&self, state: &mut State, worker: usize, order: &Ordered) {
        let order = match order.clone() {
            Ordered::Start(mut fence, attempt) => {
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
            Ordered::Stop(fence, attempt) => WorkerOrder::Stop {
                fence,
                task: TASK,
                attempt,
            },
            Ordered::Welcome(term, session, clock) => WorkerOrder::Welcome {
                term,
                session,
                clock,
                lease: LEASE,
            },
            Ordered::Reply(term, session, clock) => WorkerOrder::HeartbeatReply {
                term,
                session,
                clock,
                lease: LEASE,
            },
            Ordered::Unknown(term) => WorkerOrder::UnknownSession { term },
            Ordered::Recorded(attempt) => WorkerOrder::EndRecorded {
                task: TASK,
                attempt,
            },
        };
        state.guard(worker, GuardEvent::Order(order));
    }

    fn deliver(&self, state: &mut State, msg: &Msg, leader: usize) {
        match msg {
            Msg::Up(worker, said) => self.at_leader(state, leader, *worker, said),
            Msg::Down(worker, order) => self.at_worker(state, *worker, order),
        }
    }

    /// The current leader orders an assigned task of a cancelled job to stop.
    fn stop(&self, state: &mut State) -> Option<()> {
        let (attempt, worker) = state.assigned()?;
        let fence = state.fence(worker)?;
        if self.has(LeaseFault::AssumedNeverBegan) {
            state.end(attempt, Outcome::Reported(Ending::NeverBegan));
        }
        state.send(Msg::Down(worker, Ordered::Stop(fence, attempt)));
        Some(())
    }

    fn expire(&self, state: &mut State) -> Option<()> {
        let now = state.now();
        let over = if self.has(LeaseFault::ReleasedAtOnce) {
            (0..self.workers).map(name).collect()
        } else {
            state.leaders.last_mut()?.expire(now)
        };
        let (attempt, holder) = state.assigned()?;
        over.contains(&name(holder)).then_some(())?;
        state.end(attempt, Outcome::LeaseEnded);
        Some(())
    }
}

impl State {
    fn now(&self) -> Millis {
        Millis(self.time * QUANTUM)
    }

    /// The first worker's clock runs 1% slow, the second's 1% fast.
    fn clock(&self, worker: usize) -> Millis {
        let rate = if worker == 0 { 990 } else { 1_010 };
        Millis(100_000 + self.time * rate)
    }

    /// Fence of the current leader without the position of the order, which decides nothing.
    fn fence(&self, worker: usize) -> Option<Fence> {
        let fence = self.leaders.last()?.clone().fence(&name(worker))?;
        Some(Fence { seq: 0, ..fence })
    }

    fn send(&mut self, msg: Msg) {
        self.net.insert(msg);
    }

    fn guard(&mut self, worker: usize, event: GuardEvent) {
        let clock = self.clock(worker);
        for action in self.guards[worker].step(clock, event) {
            match action {
                GuardAction::Start { .. } => self.began = true,
                GuardAction::Stop { attempt, .. } => {
                    let end = TaskEnd::Stopped;
                    self.guard(worker, ended(attempt, end));
                }
                GuardAction::Send(report) => {
                    let said = match report {
                        WorkerReport::Register { clock, ended, .. } => {
                            for (_, attempt, end) in ended {
                                self.send(Msg::Up(worker, Said::Ended(attempt, ending(end))));
                            }
                            Said::Register(clock)
                        }
                        WorkerReport::Heartbeat {
                            session,
                            clock,
                            running,
                        } => Said::Heartbeat(session, clock, attempt_of(&running)),
                        WorkerReport::TaskEnded { attempt, end, .. } => {
                            Said::Ended(attempt, ending(end))
                        }
                        WorkerReport::Leaving { .. } => continue,
                    };
                    self.send(Msg::Up(worker, said));
                }
                _ => {}
            }
        }
    }

    /// The product's cell after the log.
    fn cell(&self) -> Cell {
        let cell = Cell::default();
        let mut commands = vec![
            Command::PutEntry {
                request_id: "r".into(),
                expected: Revision(0),
                entry: entry(),
            },
            Command::AcceptJob {
                key: None,
                spec: job_spec(),
            },
        ];
        commands.extend(self.log.iter().map(|record| match *record {
            Record::Assign(attempt, worker) => Command::Assign {
                tasks: vec![(TASK, attempt, name(worker))],
            },
            Record::End(attempt, outcome) => Command::End {
                task: TASK,
                attempt,
                ended: match outcome {
                    Outcome::Reported(Ending::Exited) => AttemptEnd::Exited(0),
                    Outcome::Reported(Ending::Stopped) => AttemptEnd::Stopped,
                    Outcome::Reported(Ending::NeverBegan) => AttemptEnd::NeverBegan,
                    Outcome::LeaseEnded => AttemptEnd::LeaseEnded,
                },
            },
            Record::Cancel => Command::Cancel { job: JOB },
        }));
        for (index, command) in commands.iter().enumerate() {
            cell.apply(LogIndex(index as u64 + 1), 0, command);
        }
        cell
    }

    fn job<R>(&self, read: fn(&JobRecord) -> R) -> R {
        self.cell().with_job(JOB, read).unwrap()
    }

    fn assigned(&self) -> Option<(Attempt, usize)> {
        self.job(|job| {
            let (_, attempt, worker) = job.assigned_tasks().next()?;
            Some((attempt, usize::from(worker.as_str() == "w1")))
        })
    }

    /// Appends an end unless the log holds it, so that repeats do not make new states.
    fn end(&mut self, attempt: Attempt, outcome: Outcome) {
        let record = Record::End(attempt, outcome);
        if !self.log.contains(&record) {
            self.log.push(record);
        }
    }

    /// Attempts that run under a lease, with their workers.
    fn runners(&self) -> Vec<(Attempt, usize)> {
        let runs = |(worker, guard): (usize, &LeaseGuard)| {
            let (_, attempt) = guard.running().next()?;
            (self.clock(worker) < guard.lease_until()).then_some((attempt, worker))
        };
        self.guards.iter().enumerate().filter_map(runs).collect()
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
            net: BTreeSet::new(),
            repeats: 0,
            began: false,
        };
        // The first sessions are granted without faults, so that the search begins where it matters.
        for worker in 0..self.workers {
            state.guard(worker, GuardEvent::Tick);
            for _ in 0..4 {
                for msg in std::mem::take(&mut state.net) {
                    self.deliver(&mut state, &msg, 0);
                }
            }
        }
        vec![state]
    }

    fn steps(&self, state: &State) -> Vec<Step> {
        let mut steps = vec![Step::PassTime, Step::Expire];
        for msg in &state.net {
            let leaders = match msg {
                Msg::Up(..) => state.leaders.len(),
                Msg::Down(..) => 1,
            };
            for leader in 0..leaders {
                steps.push(Step::Deliver(msg.clone(), leader));
                if state.repeats < MOST_REPEATS {
                    steps.push(Step::Repeat(msg.clone(), leader));
                }
            }
            if state.net.len() == MOST_IN_FLIGHT {
                steps.push(Step::Lose(msg.clone()));
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
            Step::Tick(worker) => next.guard(*worker, GuardEvent::Tick),
            Step::Deliver(msg, leader) => {
                next.net.remove(msg);
                self.deliver(&mut next, msg, *leader);
            }
            Step::Repeat(msg, leader) => {
                next.repeats += 1;
                self.deliver(&mut next, msg, *leader);
            }
            Step::Lose(msg) => {
                next.net.remove(msg);
            }
            Step::Assign(worker) => {
                let attempt = next.job(|job| job.waiting_tasks().next())?.1;
                let now = next.now();
                let leader = next.leaders.last()?;
                leader.may_run(now, &name(*worker)).then_some(())?;
                let fence = next.fence(*worker)?;
                (attempt <= Attempt(MOST_ATTEMPTS)).then_some(())?;
                next.log.push(Record::Assign(attempt, *worker));
                next.send(Msg::Down(*worker, Ordered::Start(fence, attempt)));
            }
            Step::Stop => {
                next.log.contains(&Record::Cancel).then_some(())?;
                self.stop(&mut next)?;
            }
            Step::Expire => self.expire(&mut next)?,
            Step::Finish(worker) => {
                let (_, attempt) = next.guards[*worker].running().next()?;
                next.guard(*worker, ended(attempt, TaskEnd::Exited(0)));
            }
            Step::Cancel => {
                (!next.log.contains(&Record::Cancel)).then_some(())?;
                next.log.push(Record::Cancel);
            }
            Step::Elect => {
                let now = next.now();
                let mut leases = self.leases(2);
                if let Some((_, holder)) = next.assigned() {
                    leases.inherit(now, name(holder));
                }
                next.leaders.push(leases);
            }
        }
        let within = next.time <= MOST_TIME && next.net.len() <= MOST_IN_FLIGHT;
        within.then_some(next)
    }

    fn check(&self, state: &State) -> Result<(), String> {
        let runners = state.runners();
        if runners.len() > 1 {
            return Err("the task runs in two places".to_owned());
        }
        // Stronger, and found earlier: the next attempt could start right away.
        if runners
            .first()
            .is_some_and(|runner| Some(*runner) != state.assigned())
        {
            return Err("the task was released and still runs".to_owned());
        }
        if state.began && state.job(JobRecord::state) == JobState::NotRun {
            return Err("the job is told as not run, but its task began".to_owned());
        }
        Ok(())
    }
}

fn name(worker: usize) -> WorkerName {
    if worker == 0 {
        "w0".into()
    } else {
        "w1".into()
    }
}

fn ending(end: TaskEnd) -> Ending {
    match end {
        TaskEnd::Exited(_) => Ending::Exited,
        TaskEnd::Stopped | TaskEnd::Checkpointed => Ending::Stopped,
        TaskEnd::NeverBegan => Ending::NeverBegan,
    }
}

fn ended(attempt: Attempt, end: TaskEnd) -> GuardEvent {
    GuardEvent::Ended {
        task: TASK,
        attempt,
        end,
    }
}

fn attempt_of(running: &[RunningTask]) -> Option<Attempt> {
    running.first().map(|task| task.attempt)
}

fn spec() -> TaskSpec {
    TaskSpec {
        name: "a".into(),
        workload: Workload::Batch,
        resources: Resources::ZERO,
        run_ms: 0,
        payload: [].into(),
    }
}

fn job_spec() -> JobSpec {
    JobSpec {
        name: "a".into(),
        kind: Workload::Batch,
        tasks: 1,
        resources: Resources::new(1, 1, 0),
        run_ms: 1,
        deadline_ms: None,
        payload: "".into(),
    }
}

fn entry() -> CatalogueEntry {
    CatalogueEntry {
        pattern: "a".to_owned().into(),
        owner: "t".into(),
        class: Class::Standard,
        workloads: vec![Workload::Batch],
        pool: None,
        repeatable: false,
        limits: Limits::default(),
    }
}
