//! Simulated load on the dispatcher: arrivals, a log that commits after a delay, an advice service
//! with one call at a time for each host, and workers that run what they are given.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet, BinaryHeap, HashMap, VecDeque},
    sync::Arc,
    time::Instant,
};

use tarragon_dispatch::{
    AdviceAnswer, DispatchConfig, Dispatcher, FinishedOrder, FinishedRun, Input, OrderOutcome,
    Output, PollAnswer, PollCall, PollOutcome, RunStatus, StartOrder,
};
use tarragon_names::{
    DomainName, HostCapacity, HostName, Millis, Name, PoolName, RackName, Resources, WorkerName,
};
use tarragon_workflow::{
    AdviceTerms, Command, Configuration, JobKey, JobPhase, JobSpec, Queue, RunEnd, StepSpec,
    TaskKey, WorkerIncarnation, WorkerPool, WorkerRecord, WorkflowState,
};

use super::{seeded_rng::SeededRng, timing::Timing};

/// Unix time at the start of the simulation, in milliseconds.
const EPOCH_MS: u64 = 1_700_000_000_000;
/// Time between two steps of the dispatcher.
const STEP_MS: u64 = 5;
/// Time from the proposal of a command to its commit.
const COMMIT_MS: u64 = 15;
/// Time of a message to a worker and back.
const ROUND_TRIP_MS: u64 = 8;
/// Processor time in thousandths of a core and memory of each worker.
const WORKER: Resources = Resources::new(64_000, 262_144, 0);
/// Number of hosts that relay requests for advice.
const RELAYS: u64 = 150;
/// Number of workers at which the arrival rates of [`CLASSES`] apply.
const BASE_WORKERS: f64 = 1_100.0;

/// A kind of jobs.
struct JobClass {
    name: &'static str,
    priority: u32,
    per_s: f64,
    tasks: u64,
    cores: u64,
    run_ms: u64,
    gang_percent: u64,
    stretch_permille: u64,
    target_ms: u64,
    decide_ms: f64,
    per_worker_ms: f64,
    approved_percent: u64,
}

const CLASSES: [JobClass; 3] = [
    JobClass {
        name: "short",
        priority: 0,
        per_s: 116.0,
        tasks: 4,
        cores: 16,
        run_ms: 800,
        gang_percent: 30,
        stretch_permille: 1_500,
        target_ms: 300,
        decide_ms: 11.0,
        per_worker_ms: 0.16,
        approved_percent: 70,
    },
    JobClass {
        name: "gang",
        priority: 1,
        per_s: 7.0,
        tasks: 40,
        cores: 18,
        run_ms: 4_000,
        gang_percent: 100,
        stretch_permille: 2_200,
        target_ms: 1_000,
        decide_ms: 380.0,
        per_worker_ms: 5.5,
        approved_percent: 25,
    },
    JobClass {
        name: "batch",
        priority: 2,
        per_s: 14.0,
        tasks: 40,
        cores: 11,
        run_ms: 2_700,
        gang_percent: 0,
        stretch_permille: 4_000,
        target_ms: 3_000,
        decide_ms: 140.0,
        per_worker_ms: 2.0,
        approved_percent: 45,
    },
];

/// Load of one simulation.
#[derive(Clone, Copy, Debug)]
pub(crate) struct DispatchLoad {
    pub(crate) workers: u64,
    pub(crate) seconds: u64,
    /// Factor on the arrival rates of all classes.
    pub(crate) rate: f64,
    /// Factor on the arrival rates between a quarter and a half of the simulation.
    pub(crate) burst: f64,
    pub(crate) seed: u64,
}

/// Jobs of one class that were submitted.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ClassCount {
    pub(crate) jobs: u64,
    pub(crate) in_time: u64,
    pub(crate) completed: u64,
}

/// Result of a simulation.
#[derive(Debug)]
pub(crate) struct DispatchResult {
    pub(crate) steps: Timing,
    /// Share of the simulated time that the steps took, in percent.
    pub(crate) busy_percent: f64,
    pub(crate) starts: u64,
    pub(crate) stops: u64,
    pub(crate) advice_requests: u64,
    /// Number of decision events by name.
    pub(crate) events: BTreeMap<&'static str, u64>,
    pub(crate) classes: BTreeMap<&'static str, ClassCount>,
    /// Jobs in time of those submitted in each tenth of the simulation, in percent.
    pub(crate) in_time_by_tenth: Vec<u64>,
}

enum SimEvent {
    Commit(Command),
    Input(Input),
    PollArrives(PollCall),
    RunEnds(WorkerName, TaskKey, u32),
    Poll(WorkerName),
}

#[derive(Default)]
struct SimWorker {
    /// Runs with the times of their start and their end.
    running: BTreeMap<(TaskKey, u32), (u64, u64)>,
    finished: VecDeque<FinishedRun>,
    last_number: u64,
    open_poll: Option<PollCall>,
}

/// Jobs whose completion is awaited: class, submission and objective.
type OpenJobs = HashMap<JobKey, (usize, u64, u64)>;

pub(crate) struct DispatchSimulation {
    load: DispatchLoad,
    rng: SeededRng,
    state: Arc<WorkflowState>,
    dispatcher: Dispatcher,
    now: u64,
    events: BinaryHeap<Reverse<(u64, u64)>>,
    bodies: HashMap<u64, SimEvent>,
    last_event: u64,
    workers: BTreeMap<WorkerName, SimWorker>,
    open_jobs: OpenJobs,
    last_job: u64,
    result: DispatchResult,
    tenths: Vec<(u64, u64)>,
}

impl DispatchSimulation {
    pub(crate) fn new(load: DispatchLoad) -> Self {
        let state = Arc::new(WorkflowState::new(1_000));
        state.apply(EPOCH_MS, &Command::PutConfiguration(configuration()));
        let mut workers = BTreeMap::new();
        for index in 0..load.workers {
            let record = worker_record(index);
            let worker = record.incarnation.worker.clone();
            workers.insert(worker, SimWorker::default());
            state.apply(EPOCH_MS, &Command::PutWorker(record));
        }
        let dispatcher = Dispatcher::new(DispatchConfig::default(), Arc::clone(&state));
        Self {
            load,
            rng: SeededRng::new(load.seed),
            state,
            dispatcher,
            now: 1_000,
            events: BinaryHeap::new(),
            bodies: HashMap::new(),
            last_event: 0,
            workers,
            open_jobs: HashMap::new(),
            last_job: 0,
            result: DispatchResult {
                steps: Timing::new(),
                busy_percent: 0.0,
                starts: 0,
                stops: 0,
                advice_requests: 0,
                events: BTreeMap::new(),
                classes: CLASSES
                    .iter()
                    .map(|c| (c.name, ClassCount::default()))
                    .collect(),
                in_time_by_tenth: Vec::new(),
            },
            tenths: vec![(0, 0); 10],
        }
    }

    pub(crate) fn run(mut self) -> DispatchResult {
        self.schedule(0, SimEvent::Input(Input::BecameLeader { term: 1 }));
        let begin = self.now + 2_000;
        let end = begin + self.load.seconds * 1_000;
        let mut busy = std::time::Duration::ZERO;
        while self.now < end {
            self.now += STEP_MS;
            let mut inputs = Vec::new();
            if self.now >= begin {
                self.submit_arrivals((self.now - begin) as f64 / (end - begin) as f64);
            }
            self.take_due_events(&mut inputs);
            if self.now.is_multiple_of(20) {
                inputs.push(Input::Tick);
            }
            if self.now.is_multiple_of(1_000) {
                inputs.extend((0..RELAYS).map(relay_seen));
            }
            let started = Instant::now();
            let outputs = self
                .dispatcher
                .step(Millis(self.now), EPOCH_MS + self.now, true, inputs);
            let took = started.elapsed();
            busy += took;
            self.result.steps.record(took);
            for output in outputs {
                self.carry_out(output);
            }
        }
        let simulated = (end - 1_000) as f64 / 1e3;
        self.result.busy_percent = busy.as_secs_f64() * 100.0 / simulated;
        self.result.in_time_by_tenth = self
            .tenths
            .iter()
            .map(|(jobs, in_time)| in_time * 100 / (*jobs).max(1))
            .collect();
        self.result
    }

    fn schedule(&mut self, delay: u64, event: SimEvent) {
        self.last_event += 1;
        self.events
            .push(Reverse((self.now + delay, self.last_event)));
        self.bodies.insert(self.last_event, event);
    }

    fn take_due_events(&mut self, inputs: &mut Vec<Input>) {
        while let Some(Reverse((at, id))) = self.events.peek().copied()
            && at <= self.now
        {
            self.events.pop();
            match self.bodies.remove(&id).expect("each event has a body") {
                SimEvent::Input(input) => inputs.push(input),
                SimEvent::Commit(command) => {
                    let answer = self.state.apply(EPOCH_MS + self.now, &command);
                    self.count_completed(&command);
                    inputs.push(Input::Applied(command, answer));
                }
                SimEvent::PollArrives(call) => self.poll_arrives(call),
                SimEvent::RunEnds(worker, task, run) => self.run_ends(&worker, task, run),
                SimEvent::Poll(worker) => self.answer_poll(&worker),
            }
        }
    }

    /// Submits the jobs that arrive in this step; `progress` is the part of the simulation that has
    /// passed.
    fn submit_arrivals(&mut self, progress: f64) {
        let burst = if (0.25..0.5).contains(&progress) {
            self.load.burst
        } else {
            1.0
        };
        let scale = self.load.workers as f64 / BASE_WORKERS * self.load.rate * burst;
        for (index, class) in CLASSES.iter().enumerate() {
            let mut expected = class.per_s * scale * STEP_MS as f64 / 1e3;
            while expected > 0.0 && self.rng.chance(expected.min(1.0)) {
                expected -= 1.0;
                self.submit(index, class, progress);
            }
        }
    }

    fn submit(&mut self, index: usize, class: &JobClass, progress: f64) {
        self.last_job += 1;
        let job = JobKey(self.last_job);
        let spread = self.rng.log_uniform_factor(1.8);
        let count = ((class.tasks as f64 * spread) as u32).max(1);
        let run_ms = (class.run_ms as f64 * self.rng.log_uniform_factor(1.4)) as u64;
        let is_gang = self.rng.below(100) < class.gang_percent;
        let spec = JobSpec {
            payload: Name::from("work"),
            steps: vec![StepSpec {
                count,
                resources: Resources::new(class.cores * 1_000, class.cores * 2_000, 0),
                estimate: Millis(run_ms),
                gang: is_gang,
                checkpointing: !is_gang,
                ..StepSpec::default()
            }],
            ..JobSpec::default()
        };
        let objective = self.now + run_ms * class.stretch_permille / 1_000 + class.target_ms;
        self.open_jobs
            .insert(job, (index, objective, (progress * 10.0) as u64));
        let counts = self.result.classes.entry(class.name).or_default();
        counts.jobs += 1;
        self.tenths[(progress * 10.0) as usize % 10].0 += 1;
        let queue = Name::from(class.name);
        self.schedule(
            COMMIT_MS,
            SimEvent::Commit(Command::Submit { job, queue, spec }),
        );
    }

    fn count_completed(&mut self, command: &Command) {
        let Command::RunEvents(events) = command else {
            return;
        };
        let jobs = events.iter().map(|event| match event {
            tarragon_workflow::RunEvent::Placed { task, .. }
            | tarragon_workflow::RunEvent::Ended { task, .. }
            | tarragon_workflow::RunEvent::Lost { task, .. } => task.step.job,
        });
        for job in jobs.collect::<BTreeSet<_>>() {
            let phase = self.state.with_job(job, |job| job.phase);
            if phase != Some(JobPhase::Completed) {
                continue;
            }
            let Some((index, objective, tenth)) = self.open_jobs.remove(&job) else {
                continue;
            };
            let counts = self.result.classes.entry(CLASSES[index].name).or_default();
            counts.completed += 1;
            if self.now <= objective {
                counts.in_time += 1;
                self.tenths[tenth as usize % 10].1 += 1;
            }
        }
    }

    fn carry_out(&mut self, output: Output) {
        match output {
            Output::Propose(command) => self.schedule(COMMIT_MS, SimEvent::Commit(command)),
            Output::Poll(call) => self.schedule(ROUND_TRIP_MS / 2, SimEvent::PollArrives(call)),
            Output::Start(order) => self.start(order),
            Output::Stop(order) => {
                self.result.stops += 1;
                let worker = order.incarnation.worker.clone();
                let key = (order.task, order.run);
                let sim_worker = self.workers.get_mut(&worker).expect("known worker");
                if sim_worker.running.remove(&key).is_some() {
                    self.list_end(&worker, order.task, order.run, RunEnd::Stopped);
                }
                let input = Input::StopOrderFinished(FinishedOrder {
                    fence: order.fence,
                    incarnation: order.incarnation,
                    task: order.task,
                    run: order.run,
                    outcome: OrderOutcome::Accepted,
                });
                self.schedule(ROUND_TRIP_MS, SimEvent::Input(input));
            }
            Output::RequestAdvice(request) => {
                self.result.advice_requests += 1;
                let spec = self
                    .state
                    .with_job(request.step.job, |job| job.queue.clone());
                let class = CLASSES
                    .iter()
                    .find(|class| {
                        spec.as_ref()
                            .is_some_and(|queue| queue.as_str() == class.name)
                    })
                    .expect("known queue");
                let duration = class.decide_ms + class.per_worker_ms * request.workers.len() as f64;
                let approved = request
                    .workers
                    .iter()
                    .filter(|worker| is_approved(request.step.job, worker, class.approved_percent));
                let approved = approved.map(|worker| (worker.clone(), Name::from("ticket")));
                let answer = AdviceAnswer {
                    approved: approved.collect(),
                    valid: None,
                };
                let input = Input::AdviceFinished {
                    request_id: request.request_id,
                    answer: Some(answer),
                };
                self.schedule(duration as u64 + ROUND_TRIP_MS, SimEvent::Input(input));
            }
            Output::Event(event) => *self.result.events.entry(event.name).or_default() += 1,
            Output::Throttle(_) => {}
        }
    }

    fn start(&mut self, order: StartOrder) {
        self.result.starts += 1;
        let estimate = self.state.with_job(order.task.step.job, |job| {
            let step = job.spec.steps.get(order.task.step.step as usize);
            step.map_or(0, |step| step.estimate.0)
        });
        let Some(estimate) = estimate else { return };
        let worker = order.incarnation.worker.clone();
        let sim_worker = self.workers.get_mut(&worker).expect("known worker");
        let times = (self.now, self.now + ROUND_TRIP_MS / 2 + estimate);
        sim_worker.running.insert((order.task, order.run), times);
        self.schedule(
            ROUND_TRIP_MS / 2 + estimate,
            SimEvent::RunEnds(worker, order.task, order.run),
        );
        let input = Input::StartOrderFinished(FinishedOrder {
            fence: order.fence,
            incarnation: order.incarnation,
            task: order.task,
            run: order.run,
            outcome: OrderOutcome::Accepted,
        });
        self.schedule(ROUND_TRIP_MS, SimEvent::Input(input));
    }

    fn run_ends(&mut self, worker: &WorkerName, task: TaskKey, run: u32) {
        let sim_worker = self.workers.get_mut(worker).expect("known worker");
        if sim_worker.running.remove(&(task, run)).is_some() {
            self.list_end(worker, task, run, RunEnd::Done);
        }
    }

    fn list_end(&mut self, worker: &WorkerName, task: TaskKey, run: u32, end: RunEnd) {
        let sim_worker = self.workers.get_mut(worker).expect("known worker");
        sim_worker.last_number += 1;
        sim_worker.finished.push_back(FinishedRun {
            number: sim_worker.last_number,
            task,
            run,
            end,
            checkpoint: Some(Name::from("c")),
        });
        self.answer_poll(worker);
    }

    fn poll_arrives(&mut self, call: PollCall) {
        let worker = call.incarnation.worker.clone();
        let sim_worker = self.workers.get_mut(&worker).expect("known worker");
        while sim_worker
            .finished
            .front()
            .is_some_and(|end| end.number <= call.acknowledged)
        {
            sim_worker.finished.pop_front();
        }
        let wait = if sim_worker.finished.is_empty() {
            call.wait.0
        } else {
            0
        };
        sim_worker.open_poll = Some(call);
        self.schedule(wait, SimEvent::Poll(worker));
    }

    fn answer_poll(&mut self, worker: &WorkerName) {
        let sim_worker = self.workers.get_mut(worker).expect("known worker");
        let Some(call) = sim_worker.open_poll.take() else {
            return;
        };
        let now = self.now;
        let running = sim_worker.running.iter();
        let running = running.map(|((task, run), (start, end))| RunStatus {
            task: *task,
            run: *run,
            checkpoint: Some(Name::from("c")),
            percent: (now - start) * 100 / (end - start).max(1),
            usage_or_tail_ms: Some(1_000),
        });
        let answer = PollAnswer {
            started_ms: Some(EPOCH_MS),
            clock_ms: self.now,
            running: running.collect(),
            finished: sim_worker.finished.iter().cloned().collect(),
            is_truncated: false,
        };
        let input = Input::PollFinished {
            fence: call.fence,
            incarnation: call.incarnation,
            outcome: PollOutcome::Answered(answer),
        };
        self.schedule(ROUND_TRIP_MS / 2, SimEvent::Input(input));
    }
}

/// Whether the advice service approves a worker for a job; the same for every request.
fn is_approved(job: JobKey, worker: &WorkerName, percent: u64) -> bool {
    let bytes = worker.as_str().bytes();
    let hash = bytes.fold(job.0.wrapping_mul(0x9E37_79B9_7F4A_7C15), |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01B3)
    });
    (hash >> 32) % 100 < percent
}

fn relay_seen(index: u64) -> Input {
    Input::HostSeen {
        host: HostName::from(format!("10.0.0.{index}:1")),
        domain: DomainName::from("d"),
        is_large: index < 5,
        capacity: HostCapacity {
            processor_milli: 1_000,
            link_kbps: 1_000_000,
        },
    }
}

fn worker_record(index: u64) -> WorkerRecord {
    let rack = format!("r{}", index / 8);
    WorkerRecord {
        incarnation: WorkerIncarnation {
            worker: WorkerName::from(format!("w{index:05}")),
            started_ms: EPOCH_MS,
        },
        address: Name::from(format!("10.1.0.1:{index}")),
        domain: DomainName::from("d"),
        pool: PoolName::from("pool"),
        capacity: WORKER,
        labels: vec![Name::from("a"), Name::from(rack.as_str())],
        rack: Some(RackName::from(rack)),
        is_draining: false,
        acknowledged: 0,
    }
}

fn configuration() -> Configuration {
    let queues = CLASSES.iter().map(|class| Queue {
        name: Name::from(class.name),
        host: Name::from("h"),
        prefix: Name::from(format!("/{}/", class.name)),
        pool: PoolName::from("pool"),
        priority: class.priority,
        max_attempts: 3,
        stretch_permille: class.stretch_permille,
        target_latency: Millis(class.target_ms),
        advice: Some(AdviceTerms {
            decide_us: (class.decide_ms * 1_000.0) as u64,
            per_worker_us: (class.per_worker_ms * 1_000.0) as u64,
            valid: Millis(1_500),
        }),
    });
    Configuration {
        version: 1,
        text: Name::from("{}"),
        queues: queues.collect(),
        pools: vec![WorkerPool {
            pool: PoolName::from("pool"),
            enforces_capacity: false,
            is_powered_off: false,
        }],
        max_body_bytes: 1_000_000,
        ..Configuration::default()
    }
}
