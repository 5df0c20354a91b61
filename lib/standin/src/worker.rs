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

/// Interval between two checks of the lease and of the running tasks.
const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// Maximum random delay before a worker connects to the next gateway. It spreads out the reconnects
/// of all workers whose gateway has failed.
const MAX_RECONNECT_DELAY: Duration = Duration::from_secs(2);

/// Time since the last tick above which the process is assumed to have been paused.
const PAUSE_THRESHOLD: Millis = Millis(1_000);

/// Worker that pretends to run every task that it is ordered to start, even beyond its capacity.
///
/// [`LeaseGuard`] decides which tasks run. This type executes those decisions and injects the faults
/// from its configuration.
#[derive(Debug)]
pub struct StandinWorker {
    cfg: WorkerConfig,
    guard: LeaseGuard,
    tasks: WorkerTasks,
    events: Arc<dyn EventSink>,
    link: WorkerLink,
    clock: WorkerClock,
    rng: ChaCha8Rng,
    gateway_index: usize,
    connect_at: Instant,
    last_tick_at: Millis,
}

impl StandinWorker {
    /// Creates a worker that runs no task and has no connection yet.
    pub fn new(cfg: WorkerConfig, log: TaskLog, events: Arc<dyn EventSink>) -> Self {
        let worker = cfg.guard.worker.clone();
        let worker_seed = worker.bytes().fold(cfg.seed, |seed, byte| {
            seed.wrapping_mul(31).wrapping_add(u64::from(byte))
        });
        let clock = WorkerClock::start();
        Self {
            guard: LeaseGuard::new(cfg.guard.clone()),
            tasks: WorkerTasks::new(worker, log),
            events,
            link: WorkerLink::default(),
            clock,
            rng: ChaCha8Rng::seed_from_u64(worker_seed),
            gateway_index: 0,
            connect_at: Instant::now(),
            last_tick_at: clock.now(),
            cfg,
        }
    }

    /// Runs the worker until `stop` holds `true`, then stops all its tasks.
    ///
    /// Returns an error if the task log cannot be written.
    pub async fn run(mut self, mut stop: watch::Receiver<bool>) -> io::Result<()> {
        let capacity = self.cfg.guard.capacity;
        self.tasks.log_capacity(self.clock.now(), capacity)?;
        let mut ticks = interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        while !*stop.borrow() {
            if self.has_fault(FaultKind::Pause) {
                sleep(TICK_INTERVAL).await;
                continue;
            }
            if !self.link.is_open() && Instant::now() >= self.connect_at {
                self.connect().await?;
            }
            tokio::select! {
                _ = ticks.tick() => self.tick().await?,
                order = self.link.next_order() => match order {
                    Some(order) if !self.has_fault(FaultKind::Silent) => {
                        self.handle_event(GuardEvent::Order(order)).await?;
                    }
                    Some(_) => {}
                    None => self.switch_gateway(),
                },
                _ = stop.changed() => {}
            }
        }
        self.stop_all()
    }

    async fn connect(&mut self) -> io::Result<()> {
        let gateway = self.cfg.gateways[self.gateway_index % self.cfg.gateways.len()];
        let Some(link) = WorkerLink::open(gateway).await else {
            self.switch_gateway();
            return Ok(());
        };
        self.link = link;
        let event = Event::info("worker_connected").worker(self.worker().clone());
        self.events.emit(&event.detail(gateway.to_string()));
        self.handle_event(GuardEvent::Connected).await
    }

    /// Closes the connection and schedules one to the next gateway, after a random delay.
    fn switch_gateway(&mut self) {
        self.link.close();
        self.gateway_index += 1;
        let fraction = u64::from(self.rng.next_u32());
        let delay_ms = MAX_RECONNECT_DELAY.as_millis() as u64 * fraction / u64::from(u32::MAX);
        self.connect_at = Instant::now() + Duration::from_millis(delay_ms);
    }

    async fn tick(&mut self) -> io::Result<()> {
        let now = self.clock.now();
        for (task, usage) in self.tasks.usage_at(Millis(now.0 - self.cfg.usage_lag.0)) {
            self.handle_event(GuardEvent::Usage { task, usage }).await?;
        }
        self.handle_event(GuardEvent::Tick).await?;
        for (task, attempt, status) in self.tasks.finished(now) {
            let end = TaskEnd::Exited(status);
            if self.end_attempt(task, attempt, end)? {
                self.handle_event(GuardEvent::Ended { task, attempt, end })
                    .await?;
            }
        }
        self.last_tick_at = now;
        if !self.has_fault(FaultKind::Silent) {
            let was_open = self.link.is_open();
            self.link.keep_alive(&self.cfg.guard.worker).await;
            if was_open && !self.link.is_open() {
                self.switch_gateway();
            }
        }
        Ok(())
    }

    /// Passes an event to the guard and executes the actions that the guard returns. Events that result
    /// from the actions are handled in the same way.
    async fn handle_event(&mut self, event: GuardEvent) -> io::Result<()> {
        let mut events = VecDeque::from([event]);
        while let Some(event) = events.pop_front() {
            for action in self.guard.step(self.clock.now(), event) {
                events.extend(self.execute(action).await?);
            }
        }
        Ok(())
    }

    /// Executes an action of the guard; returns the resulting event, if any.
    async fn execute(&mut self, action: GuardAction) -> io::Result<Option<GuardEvent>> {
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
                    run = run.into_failing();
                }
                self.tasks.start(now, task, run, &spec)?;
                self.emit("task_began", task, attempt);
                Ok(None)
            }
            GuardAction::Stop { task, attempt } => self.stop_task(task, attempt, TaskEnd::Stopped),
            GuardAction::Checkpoint { task, attempt } => {
                self.stop_task(task, attempt, TaskEnd::Checkpointed)
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
                self.switch_gateway();
                Ok(None)
            }
        }
    }

    async fn send(&mut self, report: &WorkerReport) {
        let is_end = matches!(report, WorkerReport::TaskEnded { .. });
        let is_lost =
            self.has_fault(FaultKind::Silent) || (is_end && self.has_fault(FaultKind::LoseAnswers));
        if !is_lost {
            self.link.send(&self.cfg.guard.worker, report).await;
        }
    }

    /// Ends an attempt because the guard decided so; returns the event for the guard if the attempt was
    /// running.
    fn stop_task(
        &mut self,
        task: TaskId,
        attempt: Attempt,
        end: TaskEnd,
    ) -> io::Result<Option<GuardEvent>> {
        let was_running = self.end_attempt(task, attempt, end)?;
        Ok(was_running.then_some(GuardEvent::Ended { task, attempt, end }))
    }

    /// Ends an attempt; returns whether it was running.
    fn end_attempt(&mut self, task: TaskId, attempt: Attempt, end: TaskEnd) -> io::Result<bool> {
        // Tasks do not run while the process is paused, so the end is logged as of the last tick before
        // the pause.
        let now = self.clock.now();
        let ran_until = if now.since(self.last_tick_at) > PAUSE_THRESHOLD {
            self.last_tick_at
        } else {
            now
        };
        let was_running = self.tasks.end(ran_until, task, attempt, end)?;
        if was_running {
            self.emit("task_ended", task, attempt);
        }
        Ok(was_running)
    }

    fn stop_all(&mut self) -> io::Result<()> {
        let running: Vec<_> = self.guard.running().collect();
        for (task, attempt) in running {
            self.end_attempt(task, attempt, TaskEnd::Stopped)?;
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
