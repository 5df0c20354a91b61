use std::{
    collections::{BTreeMap, BTreeSet},
    fmt::Write as _,
    sync::Arc,
};

use rand_chacha::{
    ChaCha8Rng,
    rand_core::{Rng as _, SeedableRng as _},
};
use tarragon_catalogue::{CatalogueEntry, Limits};
use tarragon_cell::{Answer, Cell, Command, JobRecord, JobSpec, JobState};
use tarragon_leases::{GuardConfig, GuardEvent, TaskEnd, WorkerOrder, WorkerReport};
use tarragon_names::{
    Attempt, Class, JobId, LogIndex, Millis, Resources, Revision, TaskId, Term, WorkerName,
    Workload,
};
use tarragon_placement::Placer;
use tarragon_scheduler::{SchedAction, SchedEvent, Scheduler, SchedulerConfig};

use crate::fake_worker::{FakeWorker, TaskEvent};

/// Time between two ticks of the hosts and workers.
const TICK_MS: u64 = 50;
/// Time from a proposal to its commit.
const COMMIT_DELAY_MS: u64 = 20;
/// Time for which a leader may assume that it leads after its last acknowledged heartbeat.
const LEADER_LEASE_MS: u64 = 800;

/// Faults and delays of the messages between hosts and workers. Delays are in milliseconds.
#[derive(Clone, Copy, Debug)]
pub struct Network {
    pub min_delay: u64,
    pub max_delay: u64,
    pub drop_percent: u64,
    pub repeat_percent: u64,
    /// Upper bound of the time after which a worker's gateway knows a new leader.
    pub max_follow_delay: u64,
}

impl Network {
    pub const STEADY: Self = Self {
        min_delay: 5,
        max_delay: 5,
        drop_percent: 0,
        repeat_percent: 0,
        max_follow_delay: 2_000,
    };
}

#[derive(Clone, Debug)]
enum Message {
    ToLeader(usize, WorkerName, WorkerReport),
    ToWorker(WorkerName, WorkerOrder),
    Commit(usize, Vec<Command>),
    Elect(usize),
    Follow(WorkerName, u64, usize),
    Depose(usize),
}

#[derive(Debug)]
struct Host {
    scheduler: Scheduler,
    lease_until: u64,
    paused: bool,
    inbox: Vec<SchedEvent>,
}

/// Three hosts with schedulers, their shared cell and the workers, under one true clock in
/// milliseconds.
#[derive(Debug)]
pub struct Simulation {
    pub now: u64,
    pub cell: Arc<Cell>,
    pub workers: BTreeMap<WorkerName, FakeWorker>,
    pub network: Network,
    /// Kinds of messages that are dropped, with the worker and the time at which the loss ends.
    pub losses: Vec<(&'static str, WorkerName, u64)>,
    /// Task events since a script last printed them.
    pub trace: Vec<String>,
    /// Jobs of which a task has started at some time.
    pub started_jobs: BTreeSet<JobId>,
    pub jobs: Vec<JobId>,
    pub elections: u64,
    /// Whether tasks use at most what they declare, so that no worker may ever exceed its capacity.
    pub usage_within_declared: bool,
    rng: ChaCha8Rng,
    log_index: u64,
    hosts: Vec<Host>,
    leader: Option<usize>,
    /// Latest election that each worker's gateway knows of, and the host that it elected.
    known_leaders: BTreeMap<WorkerName, (u64, usize)>,
    in_flight: BTreeMap<(u64, u64), Message>,
    sent_messages: u64,
}

impl Simulation {
    pub fn new<F>(seed: u64, placer: F) -> Self
    where
        F: Fn() -> Arc<dyn Placer>,
    {
        let cell = Arc::new(Cell::default());
        let hosts = (0..3).map(|_| Host {
            scheduler: Scheduler::new(SchedulerConfig::default(), Arc::clone(&cell), placer()),
            lease_until: 0,
            paused: false,
            inbox: Vec::new(),
        });
        let mut simulation = Self {
            now: 1_000,
            hosts: hosts.collect(),
            cell,
            workers: BTreeMap::new(),
            network: Network::STEADY,
            losses: Vec::new(),
            trace: Vec::new(),
            started_jobs: BTreeSet::new(),
            jobs: Vec::new(),
            elections: 0,
            usage_within_declared: true,
            rng: ChaCha8Rng::seed_from_u64(seed),
            log_index: 0,
            leader: None,
            known_leaders: BTreeMap::new(),
            in_flight: BTreeMap::new(),
            sent_messages: 0,
        };
        simulation.apply(&Command::PutEntry {
            request_id: "setup".into(),
            expected: Revision(0),
            entry: catalogue_entry("", Class::Standard),
        });
        simulation.apply(&Command::PutEntry {
            request_id: "urgent".into(),
            expected: Revision(0),
            entry: catalogue_entry("urgent-", Class::Urgent),
        });
        simulation.elect(0);
        simulation
    }

    /// Returns a number from 0 to `below` - 1.
    pub fn random(&mut self, below: u64) -> u64 {
        self.rng.next_u64() % below
    }

    pub fn add_worker(&mut self, name: &str, capacity: Resources, clock_rate_permille: u64) {
        let (domain, rack) = ("d".into(), "r".into());
        let cfg = GuardConfig::new(name.into(), domain, rack, capacity);
        let clock_origin = 5_000_000 + self.random(1_000_000);
        let worker = FakeWorker::new(cfg, clock_rate_permille, clock_origin);
        let leader = self.leader.unwrap_or(0);
        self.known_leaders
            .insert(name.into(), (self.elections, leader));
        self.workers.insert(name.into(), worker);
    }

    /// Commits a command: applies it to the cell and passes it to the leader.
    pub fn apply(&mut self, command: &Command) -> Answer {
        self.log_index += 1;
        let answer = self.cell.apply(LogIndex(self.log_index), self.now, command);
        if let Answer::Accepted(job) = &answer
            && !self.jobs.contains(job)
        {
            self.jobs.push(*job);
        }
        if let Some(leader) = self.leader {
            let event = SchedEvent::Committed {
                command: command.clone(),
                answer: answer.clone(),
            };
            self.scheduler_step(leader, event);
        }
        answer
    }

    pub fn submit(&mut self, name: &str, kind: Workload, tasks: u32, cpu: u64, run: u64) -> Answer {
        self.apply(&Command::AcceptJob {
            key: None,
            spec: JobSpec {
                name: name.into(),
                kind,
                tasks,
                resources: Resources::new(cpu, 100, 0),
                run_ms: run,
                deadline_ms: None,
                payload: "".into(),
            },
        })
    }

    /// Cuts off the leader and elects another host once the lease of the old leader has ended.
    pub fn elect(&mut self, next: usize) {
        let after = if self.leader.take().is_some() {
            LEADER_LEASE_MS + 700
        } else {
            0
        };
        self.send_at(after, Message::Elect(next));
    }

    /// Informs a host that it does not lead.
    pub fn depose(&mut self, host: usize) {
        self.scheduler_step(host, SchedEvent::LostLeadership);
    }

    pub fn set_host_paused(&mut self, host: usize, paused: bool) {
        self.hosts[host].paused = paused;
        if !paused {
            for event in std::mem::take(&mut self.hosts[host].inbox) {
                self.scheduler_step(host, event);
            }
        }
    }

    pub fn leader(&self) -> Option<usize> {
        self.leader
    }

    pub fn resume_worker(&mut self, name: &str) {
        let worker = self.workers.get_mut(name).unwrap();
        worker.paused = false;
        let mut inbox = std::mem::take(&mut worker.inbox);
        inbox.insert(0, GuardEvent::Tick);
        for event in inbox {
            self.worker_step(&name.into(), event);
        }
    }

    pub fn run(&mut self, ms: u64) {
        let end = self.now + ms;
        while self.now < end {
            let next = (self.now / TICK_MS + 1) * TICK_MS;
            while let Some(entry) = self.in_flight.first_entry().filter(|e| e.key().0 <= next) {
                self.now = self.now.max(entry.key().0);
                let message = entry.remove();
                self.deliver(message);
            }
            self.now = next;
            self.tick();
        }
    }

    /// What the leader reports about a job and about the workers.
    pub fn explain(&self, job: JobId) -> String {
        let Some(leader) = self.leader else {
            return "no leader\n".to_owned();
        };
        let scheduler = &self.hosts[leader].scheduler;
        let mut text = match scheduler.explain(Millis(self.now), job) {
            Ok(explanation) => format!("{job}: {}\n", explanation.reasons.join("; ")),
            Err(failure) => format!("{job}: {failure}\n"),
        };
        for worker in scheduler.workers() {
            let (name, state, tasks) = (worker.name, worker.state, worker.tasks);
            writeln!(text, "{name} {state} {tasks} tasks, {}", worker.reserved).unwrap();
        }
        text
    }

    pub fn state(&self, job: JobId) -> JobState {
        self.cell.with_job(job, JobRecord::state).unwrap()
    }

    fn tick(&mut self) {
        for host in 0..self.hosts.len() {
            if self.leader == Some(host) && !self.hosts[host].paused {
                self.hosts[host].lease_until = self.now + LEADER_LEASE_MS;
            }
            let leader_until = Millis(self.hosts[host].lease_until);
            if !self.hosts[host].paused {
                self.scheduler_step(host, SchedEvent::Tick { leader_until });
            }
        }
        for name in self.workers.keys().cloned().collect::<Vec<_>>() {
            self.worker_step(&name, GuardEvent::Tick);
        }
        self.check_invariants();
    }

    fn deliver(&mut self, message: Message) {
        match message {
            Message::ToLeader(leader, worker, report) => {
                self.scheduler_step(leader, SchedEvent::Report { worker, report });
            }
            Message::ToWorker(worker, order) => self.worker_step(&worker, GuardEvent::Order(order)),
            Message::Commit(leader, commands) => {
                // Proposals of a leader that was cut off are never committed.
                if self.leader == Some(leader) {
                    for command in commands {
                        self.apply(&command);
                    }
                }
            }
            Message::Elect(next) => {
                self.leader = Some(next);
                self.elections += 1;
                self.hosts[next].lease_until = self.now + LEADER_LEASE_MS;
                let event = SchedEvent::BecameLeader {
                    term: Term(self.elections),
                    at_ms: self.now,
                };
                self.scheduler_step(next, event);
                for worker in self.known_leaders.keys().cloned().collect::<Vec<_>>() {
                    let after = self.random(self.network.max_follow_delay);
                    let follow = Message::Follow(worker, self.elections, next);
                    self.send_at(after, follow);
                }
                for old in (0..self.hosts.len()).filter(|old| *old != next) {
                    let after = self.random(20_000);
                    self.send_at(after, Message::Depose(old));
                }
            }
            Message::Follow(worker, election, leader) => {
                if self.known_leaders[&worker].0 < election {
                    self.known_leaders
                        .insert(worker.clone(), (election, leader));
                    self.worker_step(&worker, GuardEvent::Connected);
                }
            }
            Message::Depose(host) => {
                if self.leader != Some(host) {
                    self.depose(host);
                }
            }
        }
    }

    fn scheduler_step(&mut self, host: usize, event: SchedEvent) {
        if self.hosts[host].paused {
            self.hosts[host].inbox.push(event);
            return;
        }
        let now = Millis(self.now);
        for action in self.hosts[host].scheduler.step(now, event) {
            match action {
                SchedAction::Propose(commands) => {
                    self.send_at(COMMIT_DELAY_MS, Message::Commit(host, commands));
                }
                SchedAction::Order { worker, order } => {
                    self.send(
                        order_kind(&order),
                        &worker.clone(),
                        Message::ToWorker(worker, order),
                    );
                }
                SchedAction::Log(_) => {}
            }
        }
    }

    pub fn worker_step(&mut self, name: &WorkerName, event: GuardEvent) {
        let now = self.now;
        let Some(worker) = self.workers.get_mut(name).filter(|worker| worker.alive) else {
            return;
        };
        if worker.paused {
            if event != GuardEvent::Tick {
                worker.inbox.push(event);
            }
            return;
        }
        let (mut reports, mut events) = worker.step(now, event);
        let (more, ends) = worker.finish_due_tasks(now);
        reports.extend(more);
        events.extend(ends);
        for event in events {
            self.record_event(name, &event);
        }
        let (_, leader) = self.known_leaders[name];
        for report in reports {
            let kind = report_kind(&report);
            self.send(kind, name, Message::ToLeader(leader, name.clone(), report));
        }
    }

    fn record_event(&mut self, name: &WorkerName, event: &TaskEvent) {
        let (what, task, attempt) = match event {
            TaskEvent::Started(task, attempt) => {
                self.check_start(name, *task, *attempt);
                ("starts", task, attempt)
            }
            TaskEvent::Stopped(task, attempt) => ("stops", task, attempt),
            TaskEvent::Ended(task, attempt, TaskEnd::Exited(0)) => ("finishes", task, attempt),
            TaskEvent::Ended(task, attempt, _) => ("fails", task, attempt),
        };
        self.trace
            .push(format!("{} {name} {what} {task}/{attempt}", self.now));
    }

    /// Checks the invariants of a task start.
    fn check_start(&mut self, name: &WorkerName, task: TaskId, attempt: Attempt) {
        let others = self.workers.values().filter(|other| {
            other.name() != name
                && other.makes_progress(self.now)
                && other.running.contains_key(&task)
        });
        let others = others.map(FakeWorker::name).collect::<Vec<_>>();
        assert!(
            others.is_empty(),
            "{task}/{attempt} must not start on {name} while the task runs on {others:?}"
        );
        assert_ne!(
            self.state(task.job),
            JobState::NotRun,
            "{task}/{attempt} must not start on {name} after its job was reported as not run"
        );
        self.started_jobs.insert(task.job);
    }

    /// Checks the invariants of every tick: no worker exceeds its capacity, and no job is reported
    /// as not run after one of its tasks has started.
    pub fn check_invariants(&self) {
        for worker in self.workers.values().filter(|w| w.makes_progress(self.now)) {
            let used = worker.running.values().map(|task| task.declared);
            let used = used.sum::<Resources>();
            assert!(
                !self.usage_within_declared || used.fits(&worker.cfg.capacity),
                "the tasks on {} must fit its capacity and use {used}",
                worker.name()
            );
        }
        for job in &self.started_jobs {
            assert_ne!(
                self.state(*job),
                JobState::NotRun,
                "{job} must not be reported as not run, since a task has started"
            );
        }
    }

    fn send(&mut self, kind: &'static str, worker: &WorkerName, message: Message) {
        let (now, network) = (self.now, self.network);
        let is_lost = |(lost, to, until): &(&str, WorkerName, u64)| {
            *lost == kind && to == worker && now < *until
        };
        if self.losses.iter().any(is_lost) || self.random(100) < network.drop_percent {
            return;
        }
        let span = network.max_delay - network.min_delay + 1;
        if self.random(100) < network.repeat_percent {
            // The copy may arrive long after the original.
            let copy_delay = self.random(span * 100);
            self.send_at(copy_delay, message.clone());
        }
        let delay = network.min_delay + self.random(span);
        self.send_at(delay, message);
    }

    fn send_at(&mut self, after: u64, message: Message) {
        self.sent_messages += 1;
        self.in_flight
            .insert((self.now + after, self.sent_messages), message);
    }

    /// States of the jobs and the tasks that run on each worker.
    pub fn describe(&self) -> String {
        let mut text = String::new();
        for job in &self.jobs {
            let view = self.cell.with_job(*job, |record| record.view(true));
            let Some(view) = view else { continue };
            let success = match view.success {
                Some(true) => " ok",
                Some(false) => " failed",
                None => "",
            };
            writeln!(text, "{job} {}{success}", view.state).unwrap();
            if let Some(reason) = view.reason {
                writeln!(text, "  {reason}").unwrap();
            }
        }
        for worker in self.workers.values().filter(|worker| worker.alive) {
            let tasks = worker.running.iter();
            let tasks = tasks.map(|(task, running)| format!(" {task}/{}", running.attempt));
            writeln!(text, "{}:{}", worker.name(), tasks.collect::<String>()).unwrap();
        }
        text
    }
}

fn catalogue_entry(prefix: &str, class: Class) -> CatalogueEntry {
    CatalogueEntry {
        pattern: format!("{prefix}*").into(),
        owner: "team".into(),
        class,
        workloads: vec![Workload::Batch, Workload::Service, Workload::AllOrNothing],
        pool: None,
        repeatable: false,
        limits: Limits {
            max_attempts: 6,
            max_jobs: 20_000,
            ..Limits::default()
        },
    }
}

fn report_kind(report: &WorkerReport) -> &'static str {
    match report {
        WorkerReport::Register { .. } => "register",
        WorkerReport::Heartbeat { .. } => "heartbeat",
        WorkerReport::TaskEnded { .. } => "end",
        WorkerReport::Leaving { .. } => "leaving",
    }
}

fn order_kind(order: &WorkerOrder) -> &'static str {
    match order {
        WorkerOrder::Start { .. } => "start",
        WorkerOrder::Stop { .. } => "stop",
        WorkerOrder::HeartbeatReply { .. } => "reply",
        _ => "order",
    }
}
