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

use crate::fake_worker::{Done, FakeWorker};

/// Time between two ticks of everything.
const TICK: u64 = 50;
/// Time from a proposal to its commit.
const COMMIT: u64 = 20;
/// Time for which a leader may rely on its last acknowledged heartbeat.
const LEADER_LEASE: u64 = 800;

/// What the network does to the messages between leaders and workers.
#[derive(Clone, Copy, Debug)]
pub struct Net {
    pub min_delay: u64,
    pub max_delay: u64,
    pub drop_percent: u64,
    pub repeat_percent: u64,
    /// Time after an election by which each worker's gateway knows the leader.
    pub follow: u64,
}

impl Net {
    pub const STEADY: Self = Self {
        min_delay: 5,
        max_delay: 5,
        drop_percent: 0,
        repeat_percent: 0,
        follow: 2_000,
    };
}

#[derive(Clone, Debug)]
enum Msg {
    ToLeader(usize, WorkerName, WorkerReport),
    ToWorker(WorkerName, WorkerOrder),
    Commit(usize, Vec<Command>),
    Elect(usize),
    Follow(WorkerName, u64, usize),
    StandDown(usize),
}

#[derive(Debug)]
struct Leader {
    scheduler: Scheduler,
    until: u64,
    paused: bool,
    inbox: Vec<SchedEvent>,
}

/// Everything in one process under one true clock.
#[derive(Debug)]
pub struct World {
    pub now: u64,
    pub cell: Arc<Cell>,
    pub workers: BTreeMap<WorkerName, FakeWorker>,
    pub net: Net,
    /// Kinds of messages that are lost, with the worker and the true time up to which.
    pub lost: Vec<(&'static str, WorkerName, u64)>,
    /// What happened since the last look, for scripts.
    pub trace: Vec<String>,
    /// Jobs of which a task ever began.
    pub began: BTreeSet<JobId>,
    pub jobs: Vec<JobId>,
    pub elections: u64,
    /// Whether tasks use at most what they declare, so that no worker may ever hold too much.
    pub declared_holds: bool,
    rng: ChaCha8Rng,
    log: u64,
    leaders: Vec<Leader>,
    leading: Option<usize>,
    /// Election that each worker's gateway knows of, and the host elected by it.
    follows: BTreeMap<WorkerName, (u64, usize)>,
    queue: BTreeMap<(u64, u64), Msg>,
    sent: u64,
}

impl World {
    pub fn new<F>(seed: u64, placer: F) -> Self
    where
        F: Fn() -> Arc<dyn Placer>,
    {
        let cell = Arc::new(Cell::default());
        let leaders = (0..3).map(|_| Leader {
            scheduler: Scheduler::new(SchedulerConfig::default(), Arc::clone(&cell), placer()),
            until: 0,
            paused: false,
            inbox: Vec::new(),
        });
        let mut world = Self {
            now: 1_000,
            leaders: leaders.collect(),
            cell,
            workers: BTreeMap::new(),
            net: Net::STEADY,
            lost: Vec::new(),
            trace: Vec::new(),
            began: BTreeSet::new(),
            jobs: Vec::new(),
            elections: 0,
            declared_holds: true,
            rng: ChaCha8Rng::seed_from_u64(seed),
            log: 0,
            leading: None,
            follows: BTreeMap::new(),
            queue: BTreeMap::new(),
            sent: 0,
        };
        world.apply(&Command::PutEntry {
            request_id: "setup".into(),
            expected: Revision(0),
            entry: entry("", Class::Standard),
        });
        world.apply(&Command::PutEntry {
            request_id: "urgent".into(),
            expected: Revision(0),
            entry: entry("urgent-", Class::Urgent),
        });
        world.elect(0);
        world
    }

    /// A number from 0 to `below` - 1.
    pub fn random(&mut self, below: u64) -> u64 {
        self.rng.next_u64() % below
    }

    pub fn add_worker(&mut self, name: &str, capacity: Resources, rate: u64) {
        let (domain, rack) = ("d".into(), "r".into());
        let cfg = GuardConfig::new(name.into(), domain, rack, capacity);
        let origin = 5_000_000 + self.random(1_000_000);
        let worker = FakeWorker::new(cfg, rate, origin);
        let leader = self.leading.unwrap_or(0);
        self.follows.insert(name.into(), (self.elections, leader));
        self.workers.insert(name.into(), worker);
    }

    /// Applies a command to the log and tells the leader.
    pub fn apply(&mut self, command: &Command) -> Answer {
        self.log += 1;
        let answer = self.cell.apply(LogIndex(self.log), self.now, command);
        if let Answer::Accepted(job) = &answer
            && !self.jobs.contains(job)
        {
            self.jobs.push(*job);
        }
        if let Some(leading) = self.leading {
            let event = SchedEvent::Committed {
                command: command.clone(),
                answer: answer.clone(),
            };
            self.scheduler_step(leading, event);
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

    /// Cuts the leader off and has another host elected once its leader lease has ended.
    pub fn elect(&mut self, next: usize) {
        let after = if self.leading.take().is_some() {
            LEADER_LEASE + 700
        } else {
            0
        };
        self.send_at(after, Msg::Elect(next));
    }

    /// Tells a deposed leader, or one that was never told, that it does not lead.
    pub fn stand_down(&mut self, leader: usize) {
        self.scheduler_step(leader, SchedEvent::LostLeadership);
    }

    pub fn pause_leader(&mut self, leader: usize, paused: bool) {
        self.leaders[leader].paused = paused;
        if !paused {
            for event in std::mem::take(&mut self.leaders[leader].inbox) {
                self.scheduler_step(leader, event);
            }
        }
    }

    pub fn leading(&self) -> Option<usize> {
        self.leading
    }

    pub fn wake(&mut self, name: &str) {
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
            let next = (self.now / TICK + 1) * TICK;
            while let Some(entry) = self.queue.first_entry().filter(|e| e.key().0 <= next) {
                self.now = self.now.max(entry.key().0);
                let msg = entry.remove();
                self.deliver(msg);
            }
            self.now = next;
            self.tick();
        }
    }

    /// What the leader says of a job and of the workers.
    pub fn explain(&self, job: JobId) -> String {
        let Some(leading) = self.leading else {
            return "no leader\n".to_owned();
        };
        let scheduler = &self.leaders[leading].scheduler;
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
        for leader in 0..self.leaders.len() {
            if self.leading == Some(leader) && !self.leaders[leader].paused {
                self.leaders[leader].until = self.now + LEADER_LEASE;
            }
            let leader_until = Millis(self.leaders[leader].until);
            if !self.leaders[leader].paused {
                self.scheduler_step(leader, SchedEvent::Tick { leader_until });
            }
        }
        for name in self.workers.keys().cloned().collect::<Vec<_>>() {
            self.worker_step(&name, GuardEvent::Tick);
        }
        self.check();
    }

    fn deliver(&mut self, msg: Msg) {
        match msg {
            Msg::ToLeader(leader, worker, report) => {
                self.scheduler_step(leader, SchedEvent::Report { worker, report });
            }
            Msg::ToWorker(worker, order) => self.worker_step(&worker, GuardEvent::Order(order)),
            Msg::Commit(leader, commands) => {
                // A leader that was cut off appends to its own log only.
                if self.leading == Some(leader) {
                    for command in commands {
                        self.apply(&command);
                    }
                }
            }
            Msg::Elect(next) => {
                self.leading = Some(next);
                self.elections += 1;
                self.leaders[next].until = self.now + LEADER_LEASE;
                let event = SchedEvent::BecameLeader {
                    term: Term(self.elections),
                    at_ms: self.now,
                };
                self.scheduler_step(next, event);
                for worker in self.follows.keys().cloned().collect::<Vec<_>>() {
                    let after = self.random(self.net.follow);
                    let follow = Msg::Follow(worker, self.elections, next);
                    self.send_at(after, follow);
                }
                for old in (0..self.leaders.len()).filter(|old| *old != next) {
                    let after = self.random(20_000);
                    self.send_at(after, Msg::StandDown(old));
                }
            }
            Msg::Follow(worker, election, leader) => {
                if self.follows[&worker].0 < election {
                    self.follows.insert(worker.clone(), (election, leader));
                    self.worker_step(&worker, GuardEvent::Connected);
                }
            }
            Msg::StandDown(leader) => {
                if self.leading != Some(leader) {
                    self.stand_down(leader);
                }
            }
        }
    }

    fn scheduler_step(&mut self, leader: usize, event: SchedEvent) {
        if self.leaders[leader].paused {
            self.leaders[leader].inbox.push(event);
            return;
        }
        let now = Millis(self.now);
        for action in self.leaders[leader].scheduler.step(now, event) {
            match action {
                SchedAction::Propose(commands) => {
                    self.send_at(COMMIT, Msg::Commit(leader, commands));
                }
                SchedAction::Order { worker, order } => {
                    self.send(
                        order_kind(&order),
                        &worker.clone(),
                        Msg::ToWorker(worker, order),
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
        let (mut reports, mut done) = worker.step(now, event);
        let (more, ends) = worker.finish_due(now);
        reports.extend(more);
        done.extend(ends);
        for done in done {
            self.note(name, &done);
        }
        let (_, leader) = self.follows[name];
        for report in reports {
            let kind = report_kind(&report);
            self.send(kind, name, Msg::ToLeader(leader, name.clone(), report));
        }
    }

    fn note(&mut self, name: &WorkerName, done: &Done) {
        let (what, task, attempt) = match done {
            Done::Started(task, attempt) => {
                self.started(name, *task, *attempt);
                ("starts", task, attempt)
            }
            Done::Stopped(task, attempt) => ("stops", task, attempt),
            Done::Ended(task, attempt, TaskEnd::Exited(0)) => ("finishes", task, attempt),
            Done::Ended(task, attempt, _) => ("fails", task, attempt),
        };
        self.trace
            .push(format!("{} {name} {what} {task}/{attempt}", self.now));
    }

    /// Checks what must hold whenever a task begins.
    fn started(&mut self, name: &WorkerName, task: TaskId, attempt: Attempt) {
        let others = self.workers.values().filter(|other| {
            other.name() != name && other.executes(self.now) && other.running.contains_key(&task)
        });
        let others = others.map(FakeWorker::name).collect::<Vec<_>>();
        assert!(
            others.is_empty(),
            "{task}/{attempt} begins on {name} and runs on {others:?}"
        );
        assert_ne!(
            self.state(task.job),
            JobState::NotRun,
            "{task}/{attempt} begins on {name} although its job was told as not run"
        );
        self.began.insert(task.job);
    }

    /// Checks what must hold at any time.
    pub fn check(&self) {
        for worker in self.workers.values().filter(|w| w.executes(self.now)) {
            let used = worker.running.values().map(|task| task.declared);
            let used = used.sum::<Resources>();
            assert!(
                !self.declared_holds || used.fits(&worker.cfg.capacity),
                "{} holds {used}, more than it can",
                worker.name()
            );
        }
        for job in &self.began {
            assert_ne!(self.state(*job), JobState::NotRun, "{job} ran");
        }
    }

    fn send(&mut self, kind: &'static str, worker: &WorkerName, msg: Msg) {
        let (now, net) = (self.now, self.net);
        let is_lost = |(lost, to, until): &(&str, WorkerName, u64)| {
            *lost == kind && to == worker && now < *until
        };
        if self.lost.iter().any(is_lost) || self.random(100) < net.drop_percent {
            return;
        }
        let span = net.max_delay - net.min_delay + 1;
        if self.random(100) < net.repeat_percent {
            // A copy may arrive long after the original.
            let late = self.random(span * 100);
            self.send_at(late, msg.clone());
        }
        let delay = net.min_delay + self.random(span);
        self.send_at(delay, msg);
    }

    fn send_at(&mut self, after: u64, msg: Msg) {
        self.sent += 1;
        self.queue.insert((self.now + after, self.sent), msg);
    }

    /// States of jobs and what runs where.
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

fn entry(prefix: &str, class: Class) -> CatalogueEntry {
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
