//! A small world around a dispatcher: a log that commits at once, and workers that answer as told.

#![allow(dead_code, reason = "each test file uses a part of it")]

use std::{collections::BTreeMap, sync::Arc};

use tarragon_dispatch::{
    AdviceAnswer, AskCall, DispatchConfig, Dispatcher, FinishedRow, HoldAnswer, HoldCall,
    HoldOutcome, Input, OrderOutcome, Output, PaceOrder, RunningRow, StartOrder, StopOrder,
};
use tarragon_names::{
    DomainName, HostName, Millis, Name, PoolName, RackName, Resources, WorkerName,
};
use tarragon_workflow::{
    AdviceTerms, Command, Configuration, JobKey, JobPhase, JobSpec, Queue, RunEnd, RunEvent,
    StepKey, StepSpec, TaskKey, WorkerIncarnation, WorkerPool, WorkerRecord, WorkflowState,
};

pub const QUEUE: &str = "queue";

/// A queue whose work comes after that of the other one.
pub const LOW_QUEUE: &str = "low";

/// Unix time at the start of each test, in milliseconds.
pub const EPOCH_MS: u64 = 1_700_000_000_000;

pub struct World {
    pub flow: Arc<WorkflowState>,
    pub dispatcher: Dispatcher,
    pub now: u64,
    pub term: u64,
    pub holds: Vec<HoldCall>,
    pub starts: Vec<StartOrder>,
    pub stops: Vec<StopOrder>,
    pub paces: Vec<PaceOrder>,
    pub asks: Vec<AskCall>,
    pub proposed: Vec<RunEvent>,
    /// Commands are kept back instead of being committed.
    pub is_log_held: bool,
    /// No other leader can have been elected.
    pub is_sole_leader: bool,
    pub held_commands: Vec<Command>,
}

pub fn life(worker: &str) -> WorkerIncarnation {
    WorkerIncarnation {
        worker: WorkerName::from(worker),
        started_ms: EPOCH_MS,
    }
}

pub fn worker(name: &str, cores: u64) -> WorkerRecord {
    WorkerRecord {
        incarnation: life(name),
        address: Name::from(format!("{name}:80")),
        domain: DomainName::from("zilina"),
        pool: PoolName::from("reels"),
        capacity: Resources::new(cores * 1_000, 64_000, 0),
        labels: vec![Name::from("a"), Name::from("r1-1")],
        rack: Some(RackName::from("r1-1")),
        is_draining: false,
        acknowledged: 0,
    }
}

pub fn step(count: u32, cores: u64) -> StepSpec {
    StepSpec {
        count,
        resources: Resources::new(cores * 1_000, 1_000, 0),
        estimate: Millis(1_000),
        ..StepSpec::default()
    }
}

fn queue(name: &str, priority: u32, advice: Option<AdviceTerms>) -> Queue {
    Queue {
        name: Name::from(name),
        host: Name::from("h"),
        prefix: Name::from(format!("/{name}/")),
        pool: PoolName::from("reels"),
        priority,
        max_attempts: 3,
        stretch_permille: 2_000,
        target_latency: Millis(500),
        advice,
    }
}

pub fn document(advice: Option<AdviceTerms>) -> Configuration {
    Configuration {
        version: 1,
        text: Name::from("{}"),
        queues: vec![queue(QUEUE, 0, advice), queue(LOW_QUEUE, 2, advice)],
        pools: vec![WorkerPool {
            pool: PoolName::from("reels"),
            enforces_capacity: false,
            is_powered_off: false,
        }],
        max_body_bytes: 1_000_000,
    }
}

pub fn task(job: u64, step: u32, index: u32) -> TaskKey {
    TaskKey {
        step: StepKey {
            job: JobKey(job),
            occurrence: 0,
            step,
        },
        index,
    }
}

impl World {
    /// A leader with these workers, all of which have answered a first look.
    pub fn new(workers: &[WorkerRecord]) -> Self {
        Self::with_advice(workers, None)
    }

    pub fn with_advice(workers: &[WorkerRecord], advice: Option<AdviceTerms>) -> Self {
        let flow = Arc::new(WorkflowState::new(120_000));
        flow.apply(EPOCH_MS, &Command::PutConfiguration(document(advice)));
        for worker in workers {
            flow.apply(EPOCH_MS, &Command::PutWorker(worker.clone()));
        }
        let mut world = Self {
            dispatcher: Dispatcher::new(DispatchConfig::default(), Arc::clone(&flow)),
            flow,
            now: 1_000,
            term: 0,
            holds: Vec::new(),
            starts: Vec::new(),
            stops: Vec::new(),
            paces: Vec::new(),
            asks: Vec::new(),
            proposed: Vec::new(),
            is_log_held: false,
            is_sole_leader: true,
            held_commands: Vec::new(),
        };
        world.elect();
        for worker in workers {
            world.hold(&worker.incarnation.worker, &[], &[]);
        }
        world
    }

    /// A new leader with the same replicated state, which knows nothing else.
    pub fn elect(&mut self) {
        self.dispatcher = Dispatcher::new(DispatchConfig::default(), Arc::clone(&self.flow));
        self.term += 1;
        self.holds.clear();
        self.starts.clear();
        self.stops.clear();
        self.asks.clear();
        let term = self.term;
        self.input(Input::BecameLeader { term });
        self.input(Input::HostSeen {
            host: HostName::from("10.0.0.1:1"),
            is_large: true,
        });
    }

    pub fn input(&mut self, input: Input) {
        let outputs = self.dispatcher.step(
            Millis(self.now),
            self.wall(),
            self.is_sole_leader,
            vec![input],
        );
        for output in outputs {
            match output {
                Output::Propose(command) if self.is_log_held => self.held_commands.push(command),
                Output::Propose(command) => self.commit(command),
                Output::Hold(call) => self.holds.push(call),
                Output::Start(order) => self.starts.push(order),
                Output::Stop(order) => self.stops.push(order),
                Output::Pace(order) => self.paces.push(order),
                Output::Ask(call) => self.asks.push(call),
                Output::Note(_) => {}
            }
        }
    }

    pub fn commit(&mut self, command: Command) {
        if let Command::RunEvents(records) = &command {
            self.proposed.extend(records.iter().cloned());
        }
        self.flow.apply(self.wall(), &command);
        self.input(Input::Applied(command));
    }

    pub fn release_log(&mut self) {
        self.is_log_held = false;
        for command in std::mem::take(&mut self.held_commands) {
            self.commit(command);
        }
    }

    pub fn wall(&self) -> u64 {
        EPOCH_MS + self.now
    }

    pub fn pass(&mut self, millis: u64) {
        let end = self.now + millis;
        while self.now < end {
            self.now = end.min(self.now + 20);
            self.input(Input::HostSeen {
                host: HostName::from("10.0.0.1:1"),
                is_large: true,
            });
            self.input(Input::Tick);
        }
    }

    pub fn submit(&mut self, job: u64, steps: Vec<StepSpec>) {
        self.submit_to(QUEUE, job, steps);
    }

    pub fn submit_to(&mut self, queue: &str, job: u64, steps: Vec<StepSpec>) {
        let spec = JobSpec {
            payload: Name::from("work"),
            steps,
            ..JobSpec::default()
        };
        let (job, queue) = (JobKey(job), Name::from(queue));
        self.commit(Command::Submit { job, queue, spec });
        self.pass(5);
    }

    /// Answers the open look at a worker.
    pub fn hold(
        &mut self,
        worker: &str,
        running: &[(TaskKey, u32)],
        ends: &[(u64, TaskKey, u32, RunEnd)],
    ) {
        let rows = running.iter().map(|(task, run)| RunningRow {
            task: *task,
            run: *run,
            saved: None,
            percent: 0,
            figure: None,
        });
        self.hold_rows(worker, rows.collect(), ends);
    }

    /// Answers the open look at a worker with all that it tells of its runs.
    pub fn hold_rows(
        &mut self,
        worker: &str,
        running: Vec<RunningRow>,
        ends: &[(u64, TaskKey, u32, RunEnd)],
    ) {
        let at = self
            .holds
            .iter()
            .position(|call| call.life.worker.as_str() == worker);
        let call = self.holds.remove(at.expect("a look at the worker is open"));
        let answer = HoldAnswer {
            born_ms: Some(EPOCH_MS),
            clock_ms: self.now,
            running,
            finished: ends
                .iter()
                .map(|(number, task, run, end)| FinishedRow {
                    number: *number,
                    task: *task,
                    run: *run,
                    end: *end,
                    saved: None,
                })
                .collect(),
            is_cut: false,
        };
        self.input(Input::Held {
            fence: call.fence,
            life: call.life,
            outcome: HoldOutcome::Answered(answer),
        });
    }

    /// Leaves the open look at a worker without an answer.
    pub fn hold_fails(&mut self, worker: &str) {
        let at = self
            .holds
            .iter()
            .position(|call| call.life.worker.as_str() == worker);
        let call = self.holds.remove(at.expect("a look at the worker is open"));
        self.input(Input::Held {
            fence: call.fence,
            life: call.life,
            outcome: HoldOutcome::Unanswered,
        });
    }

    /// Answers all starts that were sent.
    pub fn answer_starts(&mut self, outcome: OrderOutcome) -> Vec<StartOrder> {
        let starts = std::mem::take(&mut self.starts);
        for order in &starts {
            self.input(Input::StartEnded {
                fence: order.fence,
                life: order.life.clone(),
                task: order.task,
                run: order.run,
                outcome,
            });
        }
        starts
    }

    /// Answers all stops that were sent.
    pub fn answer_stops(&mut self, outcome: OrderOutcome) -> Vec<StopOrder> {
        let stops = std::mem::take(&mut self.stops);
        for order in &stops {
            self.input(Input::StopEnded {
                fence: order.fence,
                life: order.life.clone(),
                task: order.task,
                run: order.run,
                outcome,
            });
        }
        stops
    }

    /// Answers all calls for advice with these workers.
    pub fn answer_asks(&mut self, approved: &[&str]) -> Vec<AskCall> {
        let asks = std::mem::take(&mut self.asks);
        for call in &asks {
            let approved = approved.iter().map(|worker| {
                (
                    WorkerName::from(*worker),
                    Name::from(format!("t-{}", call.ask)),
                )
            });
            let answer = AdviceAnswer {
                approved: approved.collect(),
                valid: None,
            };
            self.input(Input::Advised {
                ask: call.ask,
                answer: Some(answer),
            });
        }
        asks
    }

    pub fn phase(&self, job: u64) -> Option<JobPhase> {
        self.flow.with_job(JobKey(job), |job| job.phase)
    }

    /// Number of runs that were recorded as lost.
    pub fn lost(&self) -> usize {
        let is_lost = |record: &&RunEvent| matches!(record, RunEvent::Lost { .. });
        self.proposed.iter().filter(is_lost).count()
    }

    /// Starts by worker.
    pub fn started_on(&self) -> BTreeMap<String, usize> {
        let mut count = BTreeMap::new();
        for order in &self.starts {
            *count.entry(order.life.worker.to_string()).or_default() += 1;
        }
        count
    }
}
