use std::collections::BTreeMap;

use tarragon_leases::{GuardAction, GuardConfig, GuardEvent, LeaseGuard, TaskEnd, WorkerReport};
use tarragon_names::{Attempt, Millis, Resources, TaskId, WorkerName};

/// A task on a fake worker.
#[derive(Clone, Debug)]
pub struct Running {
    pub attempt: Attempt,
    pub declared: Resources,
    pub status: i32,
    /// True time at which it ends by itself.
    pub ends: Option<u64>,
}

/// What a worker did, for the checks of the world.
#[derive(Clone, Debug, PartialEq)]
pub enum Done {
    Started(TaskId, Attempt),
    Stopped(TaskId, Attempt),
    Ended(TaskId, Attempt, TaskEnd),
}

/// The product's lease guard with tasks that only take time.
#[derive(Debug)]
pub struct FakeWorker {
    pub cfg: GuardConfig,
    pub guard: LeaseGuard,
    pub running: BTreeMap<TaskId, Running>,
    /// Speed of its clock in thousandths of the true one.
    pub rate: u64,
    /// Reading of its clock at true time zero.
    pub origin: u64,
    pub alive: bool,
    pub paused: bool,
    /// Whether it takes no more work until its process starts anew.
    pub leaving: bool,
    /// Orders that arrived while it was paused.
    pub inbox: Vec<GuardEvent>,
    /// Exit status of every task that begins from now on, except that jobs named `bad` fail.
    pub status: i32,
    /// Whether it uses more than was declared.
    pub usage_percent: u64,
}

impl FakeWorker {
    pub fn new(cfg: GuardConfig, rate: u64, origin: u64) -> Self {
        Self {
            guard: LeaseGuard::new(cfg.clone()),
            cfg,
            running: BTreeMap::new(),
            rate,
            origin,
            alive: true,
            paused: false,
            leaving: false,
            inbox: Vec::new(),
            status: 0,
            usage_percent: 100,
        }
    }

    pub fn name(&self) -> &WorkerName {
        &self.cfg.worker
    }

    pub fn clock(&self, now: u64) -> Millis {
        Millis(self.origin + now * self.rate / 1_000)
    }

    /// Tells whether its tasks make progress. Those of a paused worker whose lease ended do not,
    /// since it stops them before anything else when it wakes.
    pub fn executes(&self, now: u64) -> bool {
        self.alive && !(self.paused && self.clock(now) >= self.guard.lease_until())
    }

    /// Starts the process anew, with nothing left of the old one but a later clock.
    pub fn restart(&mut self, now: u64) {
        self.guard = LeaseGuard::new(self.cfg.clone());
        self.running.clear();
        self.inbox.clear();
        self.origin += 1_000_000 + now;
        self.alive = true;
        self.paused = false;
        self.leaving = false;
    }

    pub fn step(&mut self, now: u64, event: GuardEvent) -> (Vec<WorkerReport>, Vec<Done>) {
        let (mut reports, mut done) = (Vec::new(), Vec::new());
        let mut events = vec![event];
        while let Some(event) = events.pop() {
            for action in self.guard.step(self.clock(now), event) {
                match action {
                    GuardAction::Send(report) => reports.push(report),
                    GuardAction::Start {
                        task,
                        attempt,
                        spec,
                    } => {
                        let service = spec.run_ms == 0;
                        let running = Running {
                            attempt,
                            declared: spec.resources,
                            status: if spec.name.starts_with("bad") {
                                1
                            } else {
                                self.status
                            },
                            ends: (!service).then_some(now + spec.run_ms),
                        };
                        self.running.insert(task, running);
                        done.push(Done::Started(task, attempt));
                        let percent = self.usage_percent;
                        if percent != 100 {
                            let used = spec.resources.cpu_milli * percent / 100;
                            let usage = Resources::new(used, spec.resources.memory_mb, 0);
                            events.push(GuardEvent::Usage { task, usage });
                        }
                    }
                    GuardAction::Stop { task, attempt } => {
                        self.running.remove(&task);
                        done.push(Done::Stopped(task, attempt));
                        events.push(ended(task, attempt, TaskEnd::Stopped));
                    }
                    GuardAction::Checkpoint { task, attempt } => {
                        self.running.remove(&task);
                        done.push(Done::Stopped(task, attempt));
                        events.push(ended(task, attempt, TaskEnd::Checkpointed));
                    }
                    GuardAction::Throttle {
                        task, cpu_milli, ..
                    } => {
                        if let Some(running) = self.running.get_mut(&task) {
                            let declared = &mut running.declared.cpu_milli;
                            *declared = cpu_milli.min(*declared);
                        }
                    }
                    GuardAction::SwitchGateway => {}
                }
            }
        }
        (reports, done)
    }

    /// Ends the tasks whose time has come.
    pub fn finish_due(&mut self, now: u64) -> (Vec<WorkerReport>, Vec<Done>) {
        let due = self
            .running
            .iter()
            .filter(|(_, running)| running.ends.is_some_and(|ends| ends <= now))
            .map(|(task, running)| (*task, running.attempt, running.status))
            .collect::<Vec<_>>();
        let (mut reports, mut done) = (Vec::new(), Vec::new());
        for (task, attempt, status) in due {
            let end = TaskEnd::Exited(status);
            self.running.remove(&task);
            done.push(Done::Ended(task, attempt, end));
            let (more, did) = self.step(now, ended(task, attempt, end));
            reports.extend(more);
            done.extend(did);
        }
        (reports, done)
    }
}

fn ended(task: TaskId, attempt: Attempt, end: TaskEnd) -> GuardEvent {
    GuardEvent::Ended { task, attempt, end }
}
