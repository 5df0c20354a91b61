use std::collections::BTreeMap;

use tarragon_leases::{GuardAction, GuardConfig, GuardEvent, LeaseGuard, TaskEnd, WorkerReport};
use tarragon_names::{Attempt, Millis, Resources, TaskId, WorkerName};

/// A task that runs on a fake worker.
#[derive(Clone, Debug)]
pub struct FakeTask {
    pub attempt: Attempt,
    pub declared: Resources,
    pub exit_status: i32,
    /// True time at which the task exits by itself; `None` for a service.
    pub ends_at: Option<u64>,
}

/// What happened to a task on a worker, for the checks of the simulation.
#[derive(Clone, Debug, PartialEq)]
pub enum TaskEvent {
    Started(TaskId, Attempt),
    Stopped(TaskId, Attempt),
    Ended(TaskId, Attempt, TaskEnd),
}

/// Worker that runs the real lease guard and tasks that only take time.
#[derive(Debug)]
pub struct FakeWorker {
    pub cfg: GuardConfig,
    pub guard: LeaseGuard,
    pub running: BTreeMap<TaskId, FakeTask>,
    /// Rate of the worker's clock in thousandths of the true rate.
    pub clock_rate_permille: u64,
    /// Reading of the worker's clock at true time zero, in milliseconds.
    pub clock_origin: u64,
    pub alive: bool,
    pub paused: bool,
    /// Whether the worker accepts no new tasks until its process restarts.
    pub leaving: bool,
    /// Events that arrived while the worker was paused.
    pub inbox: Vec<GuardEvent>,
    /// Exit status of tasks that start from now on; tasks of jobs whose name begins with `bad` exit
    /// with 1.
    pub exit_status: i32,
    /// CPU usage of tasks that start from now on, in percent of the declared CPU.
    pub usage_percent: u64,
}

impl FakeWorker {
    pub fn new(cfg: GuardConfig, clock_rate_permille: u64, clock_origin: u64) -> Self {
        Self {
            guard: LeaseGuard::new(cfg.clone()),
            cfg,
            running: BTreeMap::new(),
            clock_rate_permille,
            clock_origin,
            alive: true,
            paused: false,
            leaving: false,
            inbox: Vec::new(),
            exit_status: 0,
            usage_percent: 100,
        }
    }

    pub fn name(&self) -> &WorkerName {
        &self.cfg.worker
    }

    pub fn clock(&self, now: u64) -> Millis {
        Millis(self.clock_origin + now * self.clock_rate_permille / 1_000)
    }

    /// Whether the tasks of the worker make progress.
    ///
    /// Tasks of a paused worker whose lease has ended do not, since the worker stops them before
    /// anything else when it resumes.
    pub fn makes_progress(&self, now: u64) -> bool {
        self.alive && !(self.paused && self.clock(now) >= self.guard.lease_until())
    }

    /// Restarts the process, which keeps no state except that its clock reads later than before.
    pub fn restart(&mut self, now: u64) {
        self.guard = LeaseGuard::new(self.cfg.clone());
        self.running.clear();
        self.inbox.clear();
        self.clock_origin += 1_000_000 + now;
        self.alive = true;
        self.paused = false;
        self.leaving = false;
    }

    pub fn step(&mut self, now: u64, event: GuardEvent) -> (Vec<WorkerReport>, Vec<TaskEvent>) {
        let (mut reports, mut task_events) = (Vec::new(), Vec::new());
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
                        let running = FakeTask {
                            attempt,
                            declared: spec.resources,
                            exit_status: if spec.name.starts_with("bad") {
                                1
                            } else {
                                self.exit_status
                            },
                            ends_at: (!service).then_some(now + spec.run_ms),
                        };
                        self.running.insert(task, running);
                        task_events.push(TaskEvent::Started(task, attempt));
                        let percent = self.usage_percent;
                        if percent != 100 {
                            let used = spec.resources.cpu_milli * percent / 100;
                            let usage = Resources::new(used, spec.resources.memory_mb, 0);
                            events.push(GuardEvent::Usage { task, usage });
                        }
                    }
                    GuardAction::Stop { task, attempt } => {
                        self.running.remove(&task);
                        task_events.push(TaskEvent::Stopped(task, attempt));
                        events.push(ended(task, attempt, TaskEnd::Stopped));
                    }
                    GuardAction::Checkpoint { task, attempt } => {
                        self.running.remove(&task);
                        task_events.push(TaskEvent::Stopped(task, attempt));
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
        (reports, task_events)
    }

    /// Ends the tasks whose run time has passed.
    pub fn finish_due_tasks(&mut self, now: u64) -> (Vec<WorkerReport>, Vec<TaskEvent>) {
        let due = self
            .running
            .iter()
            .filter(|(_, running)| running.ends_at.is_some_and(|at| at <= now))
            .map(|(task, running)| (*task, running.attempt, running.exit_status))
            .collect::<Vec<_>>();
        let (mut reports, mut task_events) = (Vec::new(), Vec::new());
        for (task, attempt, status) in due {
            let end = TaskEnd::Exited(status);
            self.running.remove(&task);
            task_events.push(TaskEvent::Ended(task, attempt, end));
            let (more_reports, more_events) = self.step(now, ended(task, attempt, end));
            reports.extend(more_reports);
            task_events.extend(more_events);
        }
        (reports, task_events)
    }
}

fn ended(task: TaskId, attempt: Attempt, end: TaskEnd) -> GuardEvent {
    GuardEvent::Ended { task, attempt, end }
}
