use std::{collections::VecDeque, io, sync::Arc, time::Duration};

use rand_chacha::{
    ChaCha8Rng,
    rand_core::{Rng, SeedableRng},
};
use tarragon_leases::{GuardAction, GuardEvent, LeaseGuard, TaskEnd, WorkerReport};
use tarragon_names::{Attempt, Millis, TaskId, WorkerName};
use tarragon_settings::FaultKind;
use tarragon_telemetry::{Event, EventSink};
use tokio::{
    sync::watch,
    time::{Instant, MissedTickBehavior, interval, sleep},
};

use crate::{
    TaskLog, WorkerConfig, WorkerTask, worker_clock::WorkerClock, worker_link::WorkerLink,
    worker_tasks::WorkerTasks,
};

/// Time between two looks at leases and tasks.
const TICK: Duration = Duration::from_millis(50);

/// Most random delay before a worker moves to another gateway, so that the workers of a gateway
/// that vanished do not arrive at once.
const REJOIN_SPREAD: Duration = Duration::from_secs(2);

/// Gap between two ticks from which on the process must have been paused.
const PAUSED: Millis = Millis(1_000);

/// Worker that pretends to run what it is given, whether it fits or not.
///
/// [`LeaseGuard`] decides what runs; this type carries it out and does wrong what its settings say.
#[derive(Debug)]
pub struct StandinWorker {
    cfg: WorkerConfig,
    guard: LeaseGuard,
    tasks: WorkerTasks,
    events: Arc<dyn EventSink>,
    link: WorkerLink,
    clock: WorkerClock,
    rng: ChaCha8Rng,
    gateway: usize,
    connect_at: Instant,
    ticked: Millis,
}

impl StandinWorker {
    /// A worker that has just started.
    pub fn new(cfg: WorkerConfig, log: TaskLog, events: Arc<dyn EventSink>) -> Self {
        let worker = cfg.guard.worker.clone();
        let own = worker.bytes().fold(cfg.seed, |seed, byte| {
            seed.wrapping_mul(31).wrapping_add(u64::from(byte))
        });
        let clock = WorkerClock::start();
        Self {
            guard: LeaseGuard::new(cfg.guard.clone()),
            tasks: WorkerTasks::new(worker, log),
            events,
            link: WorkerLink::default(),
            clock,
            rng: ChaCha8Rng::seed_from_u64(own),
            gateway: 0,
            connect_at: Instant::now(),
            ticked: clock.now(),
            cfg,
        }
    }

    /// Runs until `stop` says so; the tasks end with the worker.
    pub async fn run(mut self, mut stop: watch::Receiver<bool>) -> io::Result<()> {
        let capacity = self.cfg.guard.capacity;
        self.tasks.log_capacity(self.clock.now(), capacity)?;
        let mut ticks = interval(TICK);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        while !*stop.borrow() {
            if self.has_fault(FaultKind::Pause) {
                sleep(TICK).await;
                continue;
            }
            if !self.link.is_open() && Instant::now() >= self.connect_at {
                self.connect().await?;
            }
            tokio::select! {
                _ = ticks.tick() => self.tick().await?,
                order = self.link.order() => match order {
                    Some(order) if !self.has_fault(FaultKind::Silent) => {
                        self.step(GuardEvent::Order(order)).await?;
                    }
                    Some(_) => {}
                    None => self.move_on(),
                },
                _ = stop.changed() => {}
            }
        }
        self.stop_all()
    }

    async fn connect(&mut self) -> io::Result<()> {
        let gateway = self.cfg.gateways[self.gateway % self.cfg.gateways.len()];
        let Some(link) = WorkerLink::open(gateway).await else {
            self.move_on();
            return Ok(());
        };
        self.link = link;
        let event = Event::info("worker_connected").worker(self.worker().clone());
        self.events.emit(&event.detail(gateway.to_string()));
        self.step(GuardEvent::Connected).await
    }

    /// Plans a connection to the next gateway.
    fn move_on(&mut self) {
        self.link.close();
        self.gateway += 1;
        let part = u64::from(self.rng.next_u32());
        let millis = REJOIN_SPREAD.as_millis() as u64 * part / u64::from(u32::MAX);
        self.connect_at = Instant::now() + Duration::from_millis(millis);
    }

    async fn tick(&mut self) -> io::Result<()> {
        let now = self.clock.now();
        for (task, usage) in self.tasks.usage_at(Millis(now.0 - self.cfg.usage_lag.0)) {
            self.step(GuardEvent::Usage { task, usage }).await?;
        }
        self.step(GuardEvent::Tick).await?;
        for (task, attempt, status) in self.tasks.due(now) {
            let end = TaskEnd::Exited(status);
            if self.end(task, attempt, end)? {
                self.step(GuardEvent::Ended { task, attempt, end }).await?;
            }
        }
        self.ticked = now;
        if !self.has_fault(FaultKind::Silent) {
            let open = self.link.is_open();
            self.link.keep(&self.cfg.guard.worker).await;
            if open && !self.link.is_open() {
                self.move_on();
            }
        }
        Ok(())
    }

    /// Hands an event to the guard and carries out its actions, and so on until nothing follows.
    async fn step(&mut self, event: GuardEvent) -> io::Result<()> {
        let mut events = VecDeque::from([event]);
        while let Some(event) = events.pop_front() {
            for action in self.guard.step(self.clock.now(), event) {
                events.extend(self.carry_out(action).await?);
            }
        }
        Ok(())
    }

    async fn carry_out(&mut self, action: GuardAction) -> io::Result<Option<GuardEvent>> {
        match action {
            GuardAction::Send(report) => {
                self.send(&report).await;
                Ok(None)
            }
            GuardAction::Start {
                task,
                attempt,
                spec,
            } => {
                let now = self.clock.now();
                let factor = self.cfg.wrong_factor;
                let mut run = WorkerTask::start(now, self.cfg.seed, factor, task, attempt, &spec);
                if self.has_fault(FaultKind::FailAll) {
                    run = run.failing();
                }
                self.tasks.start(now, task, run, &spec)?;
                self.emit("task_began", task, attempt);
                Ok(None)
            }
            GuardAction::Stop { task, attempt } => self.ended(task, attempt, TaskEnd::Stopped),
            GuardAction::Checkpoint { task, attempt } => {
                self.ended(task, attempt, TaskEnd::Checkpointed)
            }
            GuardAction::Throttle {
                task,
                attempt,
                cpu_milli,
            } => {
                self.tasks
                    .throttle(self.clock.now(), task, attempt, cpu_milli);
                Ok(None)
            }
            GuardAction::SwitchGateway => {
                self.move_on();
                Ok(None)
            }
        }
    }

    async fn send(&mut self, report: &WorkerReport) {
        let ended = matches!(report, WorkerReport::TaskEnded { .. });
        let lost =
            self.has_fault(FaultKind::Silent) || (ended && self.has_fault(FaultKind::LoseAnswers));
        if !lost {
            self.link.send(&self.cfg.guard.worker, report).await;
        }
    }

    fn ended(
        &mut self,
        task: TaskId,
        attempt: Attempt,
        end: TaskEnd,
    ) -> io::Result<Option<GuardEvent>> {
        let ran = self.end(task, attempt, end)?;
        Ok(ran.then_some(GuardEvent::Ended { task, attempt, end }))
    }

    fn end(&mut self, task: TaskId, attempt: Attempt, end: TaskEnd) -> io::Result<bool> {
        // A paused process executes nothing, so its tasks last ran when it was last active.
        let now = self.clock.now();
        let ran_until = if now.since(self.ticked) > PAUSED {
            self.ticked
        } else {
            now
        };
        let ran = self.tasks.end(ran_until, task, attempt, end)?;
        if ran {
            self.emit("task_ended", task, attempt);
        }
        Ok(ran)
    }

    fn stop_all(&mut self) -> io::Result<()> {
        let running: Vec<_> = self.guard.running().collect();
        for (task, attempt) in running {
            self.end(task, attempt, TaskEnd::Stopped)?;
        }
        Ok(())
    }

    fn emit(&self, name: &'static str, task: TaskId, attempt: Attempt) {
        let event = Event::info(name).task(task).attempt(attempt);
        self.events.emit(&event.worker(self.worker().clone()));
    }

    fn has_fault(&self, kind: FaultKind) -> bool {
        self.cfg.has_fault(kind, self.clock.elapsed())
    }

    fn worker(&self) -> &WorkerName {
        &self.cfg.guard.worker
    }
}
