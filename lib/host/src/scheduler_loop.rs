use std::{
    sync::{
        Arc,
        mpsc::{Receiver, RecvTimeoutError},
    },
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

use parking_lot::Mutex;
use tarragon_cell::{Cell, Command};
use tarragon_leases::WorkerOrder;
use tarragon_names::{Resources, WorkerName};
use tarragon_scheduler::{SchedAction, SchedEvent, Scheduler};
use tarragon_telemetry::{EventSink, Metrics};

use crate::{
    CellLog, CellTime, OrderRoutes, SchedulerHandle, scheduler_events, scheduler_handle::SchedInput,
};
use tarragon_replica::{AbortOnPanic, Clock, ReplicaHandle};

/// Time between two ticks of the scheduler.
const TICK: Duration = Duration::from_millis(50);

/// Time between two updates of the gauges, which look at every worker.
const GAUGES_EVERY: Duration = Duration::from_secs(1);

/// Most inputs handled between two ticks.
const BATCH: usize = 4_096;

/// What the scheduler's thread works with.
#[derive(Debug)]
pub struct SchedulerParts {
    /// The scheduler.
    pub scheduler: Scheduler,
    /// Where it proposes commands.
    pub replica: ReplicaHandle<CellLog>,
    /// Ways to the workers.
    pub routes: Arc<OrderRoutes>,
    /// State that the log builds up.
    pub cell: Arc<Cell>,
    /// Source of time.
    pub clock: Arc<dyn Clock>,
    /// Time that is written into the log.
    pub time: Arc<CellTime>,
    /// Where events go.
    pub events: Arc<dyn EventSink>,
    /// Metrics of the host.
    pub metrics: Arc<Metrics>,
}

/// Thread that owns the scheduler and carries out its actions.
#[derive(Debug)]
pub struct SchedulerLoop {
    parts: SchedulerParts,
    handle: SchedulerHandle,
    rx: Mutex<Receiver<SchedInput>>,
    ticked: Instant,
    gauged: Instant,
}

impl SchedulerLoop {
    /// Starts the thread on the receiver of the handle's channel.
    pub(crate) fn start(
        parts: SchedulerParts,
        handle: SchedulerHandle,
        rx: Receiver<SchedInput>,
    ) -> JoinHandle<()> {
        let scheduler = Self {
            parts,
            handle,
            rx: Mutex::new(rx),
            ticked: Instant::now(),
            gauged: Instant::now(),
        };
        let spawned = thread::Builder::new()
            .name("scheduler".to_owned())
            .spawn(|| scheduler.run());
        spawned.expect("the process may start a thread at its start")
    }

    fn run(mut self) {
        let _guard = AbortOnPanic;
        while self.turn() {}
    }

    /// Handles one batch of inputs; false at the stop.
    fn turn(&mut self) -> bool {
        let wait = TICK.saturating_sub(self.ticked.elapsed());
        let mut inputs = Vec::new();
        {
            let rx = self.rx.lock();
            match rx.recv_timeout(wait) {
                Ok(input) => inputs.push(input),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return false,
            }
            inputs.extend(rx.try_iter().take(BATCH));
        }
        for input in inputs {
            match input {
                SchedInput::Event(event) => self.step(event),
                SchedInput::Inspect(look) => look(&self.parts.scheduler, self.parts.clock.now()),
                SchedInput::Stop => return false,
            }
        }
        if self.ticked.elapsed() >= TICK {
            self.ticked = Instant::now();
            self.set_gauges_if_due();
            self.step(SchedEvent::Tick {
                leader_until: self.handle.leads_until(),
            });
        }
        true
    }

    fn set_gauges_if_due(&mut self) {
        if self.gauged.elapsed() < GAUGES_EVERY {
            return;
        }
        self.gauged = Instant::now();
        let metrics = &self.parts.metrics;
        metrics
            .queued_jobs
            .set(self.parts.scheduler.waiting_jobs() as i64);
        metrics.workers.reset();
        let (mut capacity, mut reserved) = (Resources::ZERO, Resources::ZERO);
        for worker in self.parts.scheduler.workers() {
            metrics.workers.with_label_values(&[&worker.state]).inc();
            capacity += worker.capacity;
            reserved += worker.reserved;
        }
        for (gauges, amounts) in [(&metrics.capacity, capacity), (&metrics.reserved, reserved)] {
            for (resource, amount) in [
                ("cpu_milli", amounts.cpu_milli),
                ("memory_mb", amounts.memory_mb),
                ("accelerators", amounts.accelerators),
            ] {
                gauges.with_label_values(&[resource]).set(amount as i64);
            }
        }
    }

    fn step(&mut self, event: SchedEvent) {
        let mut event = Some(event);
        // A refusal by a full queue is an event of its own.
        while let Some(next) = event.take() {
            let actions = self.parts.scheduler.step(self.parts.clock.now(), next);
            let mut refused = Vec::new();
            for action in actions {
                match action {
                    SchedAction::Propose(commands) => refused.extend(self.propose(commands)),
                    SchedAction::Order { worker, order } => self.order(&worker, order),
                    SchedAction::Log(log) => {
                        let cell_ms = self.parts.time.now();
                        scheduler_events::record(
                            &self.parts.metrics,
                            &self.parts.cell,
                            cell_ms,
                            &log,
                        );
                        self.parts.events.emit(&scheduler_events::event(log));
                    }
                }
            }
            if !refused.is_empty() {
                event = Some(SchedEvent::NotProposed(refused));
            }
        }
    }

    /// Proposes commands and gives back those that found the queue full.
    fn propose(&self, commands: Vec<Command>) -> Vec<Command> {
        let at_ms = self.parts.time.now();
        commands
            .into_iter()
            .filter(|command| {
                self.parts
                    .replica
                    .propose_for_scheduler(at_ms, command.clone())
                    .is_err()
            })
            .collect()
    }

    fn order(&self, worker: &WorkerName, order: WorkerOrder) {
        self.parts.routes.send(worker, order);
    }
}
