//! Test harness around a dispatcher, with a log that commits at once and workers whose answers the
//! test sets.

#![allow(dead_code, reason = "each test file uses a part of it")]

use std::{collections::BTreeMap, sync::Arc};

use tarragon_dispatch::{
    AdviceAnswer, AdviceRequest, DecisionEvent, DispatchConfig, Dispatcher, FinishedOrder,
    FinishedRun, Input, OrderOutcome, Output, PollAnswer, PollCall, PollOutcome, RunStatus,
    StartOrder, StopOrder, ThrottleOrder,
};
use tarragon_names::{
    DomainName, HostCapacity, HostName, Millis, Name, PoolName, RackName, Resources, TeamName,
    WorkerName,
};
use tarragon_workflow::{
    AdviceTerms, Command, Configuration, JobKey, JobPhase, JobSpec, Queue, RunEnd, RunEvent,
    StepKey, StepSpec, TaskKey, Team, TeamTable, WorkerIncarnation, WorkerPool, WorkerRecord,
    WorkflowState,
};

pub const HOST_CAPACITY: HostCapacity = HostCapacity {
    processor_milli: 1_000,
    link_kbps: 1_000_000,
};

pub const QUEUE: &str = "queue";

/// A queue that is less urgent than `QUEUE`.
pub const LOW_QUEUE: &str = "low";

/// Unix time at the start of each test, in milliseconds.
pub const EPOCH_MS: u64 = 1_700_000_000_000;

pub struct Harness {
    pub workflow_state: Arc<WorkflowState>,
    pub dispatcher: Dispatcher,
    pub now: u64,
    pub term: u64,
    pub polls: Vec<PollCall>,
    pub starts: Vec<StartOrder>,
    pub stops: Vec<StopOrder>,
    pub throttles: Vec<ThrottleOrder>,
    pub advice_requests: Vec<AdviceRequest>,
    pub proposed: Vec<RunEvent>,
    pub events: Vec<DecisionEvent>,
    /// Whether proposed commands are queued instead of committed.
    pub is_log_paused: bool,
    /// Whether no other host can have been elected.
    pub is_sole_leader: bool,
    pub uncommitted: Vec<Command>,
    /// Dispatcher of a host that applies the log while another one leads.
    follower: Dispatcher,
    cfg: DispatchConfig,
}

pub fn incarnation(worker: &str) -> WorkerIncarnation {
    WorkerIncarnation {
        worker: WorkerName::from(worker),
        started_ms: EPOCH_MS,
    }
}

pub fn worker(name: &str, cores: u64) -> WorkerRecord {
    WorkerRecord {
        incarnation: incarnation(name),
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

pub fn configuration(advice: Option<AdviceTerms>) -> Configuration {
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
        ..Configuration::default()
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

/// Status of the first runs of these tasks, each at work.
pub fn first_runs(tasks: &[TaskKey]) -> Vec<RunStatus> {
    let tasks = tasks.iter();
    let runs = tasks.map(|task| RunStatus {
        task: *task,
        run: 1,
        checkpoint: None,
        percent: 10,
        usage_or_tail_ms: None,
    });
    runs.collect()
}

impl Harness {
    /// A leader with these workers, each of which has answered its first poll.
    pub fn new(workers: &[WorkerRecord]) -> Self {
        Self::with_advice(workers, None)
    }

    pub fn with_advice(workers: &[WorkerRecord], advice: Option<AdviceTerms>) -> Self {
        Self::with_config(workers, advice, DispatchConfig::default())
    }

    pub fn with_config(
        workers: &[WorkerRecord],
        advice: Option<AdviceTerms>,
        cfg: DispatchConfig,
    ) -> Self {
        let workflow_state = Arc::new(WorkflowState::new(120_000));
        workflow_state.apply(EPOCH_MS, &Command::PutConfiguration(configuration(advice)));
        for worker in workers {
            workflow_state.apply(EPOCH_MS, &Command::PutWorker(worker.clone()));
        }
        let mut harness = Self {
            dispatcher: Dispatcher::new(cfg, Arc::clone(&workflow_state)),
            workflow_state: Arc::clone(&workflow_state),
            now: 1_000,
            term: 0,
            polls: Vec::new(),
            starts: Vec::new(),
            stops: Vec::new(),
            throttles: Vec::new(),
            advice_requests: Vec::new(),
            proposed: Vec::new(),
            events: Vec::new(),
            is_log_paused: false,
            is_sole_leader: true,
            uncommitted: Vec::new(),
            follower: Dispatcher::new(cfg, Arc::clone(&workflow_state)),
            cfg,
        };
        harness.elect_new_leader();
        for worker in workers {
            harness.answer_poll(&worker.incarnation.worker, &[], &[]);
        }
        harness
    }

    /// Replaces the dispatcher by that of a new leader, which knows only the replicated state.
    pub fn elect_new_leader(&mut self) {
        let new = Dispatcher::new(self.cfg, Arc::clone(&self.workflow_state));
        self.lead_with(new);
    }

    /// Replaces the dispatcher by that of a host that has applied the log so far.
    pub fn elect_follower(&mut self) {
        let new = Dispatcher::new(self.cfg, Arc::clone(&self.workflow_state));
        let follower = std::mem::replace(&mut self.follower, new);
        self.lead_with(follower);
    }

    fn lead_with(&mut self, dispatcher: Dispatcher) {
        self.dispatcher = dispatcher;
        self.term += 1;
        self.polls.clear();
        self.starts.clear();
        self.stops.clear();
        self.advice_requests.clear();
        let term = self.term;
        self.input(Input::BecameLeader { term });
        self.input(Input::HostSeen {
            host: HostName::from("10.0.0.1:1"),
            domain: DomainName::from("zilina"),
            is_large: true,
            capacity: HOST_CAPACITY,
        });
    }

    pub fn input(&mut self, input: Input) {
        let outputs = self.dispatcher.step(
            Millis(self.now),
            self.unix_ms(),
            self.is_sole_leader,
            vec![input],
        );
        for output in outputs {
            match output {
                Output::Propose(command) if self.is_log_paused => self.uncommitted.push(command),
                Output::Propose(command) => self.commit(command),
                Output::Poll(call) => self.polls.push(call),
                Output::Start(order) => self.starts.push(order),
                Output::Stop(order) => self.stops.push(order),
                Output::Throttle(order) => self.throttles.push(order),
                Output::RequestAdvice(call) => self.advice_requests.push(call),
                Output::Event(event) => self.events.push(event),
            }
        }
    }

    pub fn commit(&mut self, command: Command) {
        if let Command::RunEvents(records) = &command {
            self.proposed.extend(records.iter().cloned());
        }
        let answer = self.workflow_state.apply(self.unix_ms(), &command);
        if let Command::RunEvents(records) = &command {
            let placed = records.iter().filter_map(RunEvent::placed_run).collect();
            let placed = vec![Input::RunsPlaced(placed)];
            let (now, now_ms) = (Millis(self.now), self.unix_ms());
            self.follower.step(now, now_ms, false, placed);
        }
        self.input(Input::Applied(command, answer));
    }

    pub fn resume_log(&mut self) {
        self.is_log_paused = false;
        for command in std::mem::take(&mut self.uncommitted) {
            self.commit(command);
        }
    }

    pub fn unix_ms(&self) -> u64 {
        EPOCH_MS + self.now
    }

    pub fn advance(&mut self, millis: u64) {
        let end = self.now + millis;
        while self.now < end {
            self.now = end.min(self.now + 20);
            self.input(Input::HostSeen {
                host: HostName::from("10.0.0.1:1"),
                domain: DomainName::from("zilina"),
                is_large: true,
                capacity: HOST_CAPACITY,
            });
            self.input(Input::Tick);
        }
    }

    pub fn submit(&mut self, job: u64, steps: Vec<StepSpec>) {
        self.submit_to(QUEUE, job, steps);
    }

    /// Puts a configuration with these teams.
    pub fn put_teams(&mut self, version: u64, teams: Vec<Team>) {
        let configuration = Configuration {
            version,
            ..configuration(None)
        };
        let teams = TeamTable::new(teams, Vec::new()).expect("the teams differ");
        let teams = Arc::new(teams);
        self.commit(Command::PutTeamConfiguration {
            configuration,
            teams,
        });
        self.advance(100);
    }

    /// Submits a job of a team.
    pub fn submit_for(&mut self, team: &str, queue: &str, job: u64, steps: Vec<StepSpec>) {
        let spec = JobSpec {
            payload: Name::from("work"),
            steps,
            ..JobSpec::default()
        };
        self.commit(Command::SubmitForTeam {
            job: JobKey(job),
            queue: Name::from(queue),
            team: TeamName::from(team),
            spec,
        });
        self.advance(5);
    }

    pub fn submit_to(&mut self, queue: &str, job: u64, steps: Vec<StepSpec>) {
        let spec = JobSpec {
            payload: Name::from("work"),
            steps,
            ..JobSpec::default()
        };
        let (job, queue) = (JobKey(job), Name::from(queue));
        self.commit(Command::Submit { job, queue, spec });
        self.advance(5);
    }

    /// Answers the open poll of a worker with these runs and ends.
    pub fn answer_poll(
        &mut self,
        worker: &str,
        running: &[(TaskKey, u32)],
        ends: &[(u64, TaskKey, u32, RunEnd)],
    ) {
        let statuses = running.iter().map(|(task, run)| RunStatus {
            task: *task,
            run: *run,
            checkpoint: None,
            percent: 0,
            usage_or_tail_ms: None,
        });
        self.answer_poll_with(worker, statuses.collect(), ends);
    }

    /// Lets time pass while a worker reports this progress of a run twice a second.
    pub fn advance_with_progress<F>(
        &mut self,
        millis: u64,
        reports: &[(&str, TaskKey, u32)],
        percent: F,
    ) where
        F: Fn(u64) -> u64,
    {
        let begun = self.now;
        while self.now < begun + millis && self.stops.is_empty() {
            self.advance(500);
            for (worker, ..) in reports {
                let of_worker = reports.iter().filter(|(other, ..)| other == worker);
                let statuses = of_worker.map(|(_, task, run)| RunStatus {
                    task: *task,
                    run: *run,
                    checkpoint: None,
                    percent: percent(self.now - begun),
                    usage_or_tail_ms: None,
                });
                if self
                    .polls
                    .iter()
                    .any(|call| call.incarnation.worker.as_str() == *worker)
                {
                    self.answer_poll_with(worker, statuses.collect(), &[]);
                }
            }
            self.advance(100);
        }
    }

    /// Answers the open poll of a worker with the full status of its runs.
    pub fn answer_poll_with(
        &mut self,
        worker: &str,
        running: Vec<RunStatus>,
        ends: &[(u64, TaskKey, u32, RunEnd)],
    ) {
        let at = self
            .polls
            .iter()
            .position(|call| call.incarnation.worker.as_str() == worker);
        let call = self
            .polls
            .remove(at.expect("a poll of the worker should be open"));
        let answer = PollAnswer {
            started_ms: Some(call.incarnation.started_ms),
            clock_ms: self.now,
            running,
            finished: ends
                .iter()
                .map(|(number, task, run, end)| FinishedRun {
                    number: *number,
                    task: *task,
                    run: *run,
                    end: *end,
                    checkpoint: None,
                })
                .collect(),
            is_truncated: false,
        };
        self.input(Input::PollFinished {
            fence: call.fence,
            incarnation: call.incarnation,
            outcome: PollOutcome::Answered(answer),
        });
    }

    /// Lets the open poll of a worker time out.
    pub fn time_out_poll(&mut self, worker: &str) {
        self.finish_poll(worker, PollOutcome::Unanswered);
    }

    /// Ends the open poll of a worker with this outcome.
    pub fn finish_poll(&mut self, worker: &str, outcome: PollOutcome) {
        let at = self
            .polls
            .iter()
            .position(|call| call.incarnation.worker.as_str() == worker);
        let call = self
            .polls
            .remove(at.expect("a poll of the worker should be open"));
        self.input(Input::PollFinished {
            fence: call.fence,
            incarnation: call.incarnation,
            outcome,
        });
    }

    /// Answers all start orders that were sent.
    pub fn answer_starts(&mut self, outcome: OrderOutcome) -> Vec<StartOrder> {
        let starts = std::mem::take(&mut self.starts);
        for order in &starts {
            self.input(Input::StartOrderFinished(FinishedOrder {
                fence: order.fence,
                incarnation: order.incarnation.clone(),
                task: order.task,
                run: order.run,
                outcome,
            }));
        }
        starts
    }

    /// Answers all stop orders that were sent.
    pub fn answer_stops(&mut self, outcome: OrderOutcome) -> Vec<StopOrder> {
        let stops = std::mem::take(&mut self.stops);
        for order in &stops {
            self.input(Input::StopOrderFinished(FinishedOrder {
                fence: order.fence,
                incarnation: order.incarnation.clone(),
                task: order.task,
                run: order.run,
                outcome,
            }));
        }
        stops
    }

    /// Answers all requests for advice with these workers as approved.
    pub fn answer_advice_requests(&mut self, approved: &[&str]) -> Vec<AdviceRequest> {
        let advice_requests = std::mem::take(&mut self.advice_requests);
        for call in &advice_requests {
            let approved = approved.iter().map(|worker| {
                (
                    WorkerName::from(*worker),
                    Name::from(format!("t-{}", call.request_id)),
                )
            });
            let answer = AdviceAnswer {
                approved: approved.collect(),
                valid: None,
            };
            self.input(Input::AdviceFinished {
                request_id: call.request_id,
                answer: Some(answer),
            });
        }
        advice_requests
    }

    pub fn phase(&self, job: u64) -> Option<JobPhase> {
        self.workflow_state.with_job(JobKey(job), |job| job.phase)
    }

    /// Details of the events with this name.
    pub fn events_named(&self, name: &str) -> Vec<&str> {
        let events = self.events.iter().filter(|event| event.name == name);
        events.map(|event| event.detail.as_str()).collect()
    }

    /// Number of runs that were recorded as lost.
    pub fn lost_runs(&self) -> usize {
        let is_lost = |record: &&RunEvent| matches!(record, RunEvent::Lost { .. });
        self.proposed.iter().filter(is_lost).count()
    }

    /// Returns whether a run of the task was recorded as lost.
    pub fn is_lost(&self, lost: TaskKey) -> bool {
        let mut records = self.proposed.iter();
        records.any(|record| matches!(record, RunEvent::Lost { task, .. } if *task == lost))
    }

    /// Number of events with this name.
    pub fn event_count(&self, name: &str) -> usize {
        let events = self.events.iter();
        events.filter(|event| event.name == name).count()
    }

    /// Number of start orders by worker.
    pub fn started_on(&self) -> BTreeMap<String, usize> {
        let mut count = BTreeMap::new();
        for order in &self.starts {
            *count
                .entry(order.incarnation.worker.to_string())
                .or_default() += 1;
        }
        count
    }
}
