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
    CellClock, CellStateMachine, OrderRoutes, SchedulerHandle, scheduler_events,
    scheduler_handle::SchedInput,
};
use tarragon_replica::{AbortOnPanic, Clock, ReplicaHandle};

/// Interval between two ticks of the scheduler.
const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// Interval between two updates of the gauges; an update reads the state of every worker.
const GAUGE_INTERVAL: Duration = Duration::from_secs(1);

/// Maximum number of queued inputs in one batch, which bounds the delay of a tick.
const MAX_INPUTS_PER_BATCH: usize = 4_096;

/// State and dependencies of the scheduler's thread.
#[derive(Debug)]
pub struct SchedulerParts {
    /// Scheduler that decides on jobs and tasks; only its own thread uses it.
    pub scheduler: Scheduler,
    /// Replica to which the scheduler proposes commands.
    pub replica: ReplicaHandle<CellStateMachine>,
    /// Routes by which orders are sent to the workers.
    pub routes: Arc<OrderRoutes>,
    /// Replicated state of the cell, read for the metrics.
    pub cell: Arc<Cell>,
    /// Monotonic clock that the scheduler decides by.
    pub clock: Arc<dyn Clock>,
    /// Clock that stamps log entries.
    pub cell_clock: Arc<CellClock>,
    /// Receives the events of the scheduler's decisions.
    pub events: Arc<dyn EventSink>,
    /// Metrics updated by the scheduler's decisions.
    pub metrics: Arc<Metrics>,
}

/// Thread that owns the scheduler and executes its actions.
#[derive(Debug)]
pub struct SchedulerLoop {
    parts: SchedulerParts,
    handle: SchedulerHandle,
    rx: Mutex<Receiver<SchedInput>>,
    last_tick: Instant,
    last_gauge_update: Instant,
}

impl SchedulerLoop {
    /// Starts the thread, which handles the inputs received on `rx`, the channel of `handle`.
    pub(crate) fn start(
        parts: SchedulerParts,
        handle: SchedulerHandle,
        rx: Receiver<SchedInput>,
    ) -> JoinHandle<()> {
        let scheduler = Self {
            parts,
            handle,
            rx: Mutex::new(rx),
            last_tick: Instant::now(),
            last_gauge_update: Instant::now(),
        };
        let spawned = thread::Builder::new()
            .name("scheduler".to_owned())
            .spawn(|| scheduler.run());
        spawned.expect("the scheduler thread can be started when the process starts")
    }

    fn run(mut self) {
        let _guard = AbortOnPanic;
        while self.run_batch() {}
    }

    /// Handles one batch of inputs and a tick if it is due; returns false when the thread must end.
    fn run_batch(&mut self) -> bool {
        let wait = TICK_INTERVAL.saturating_sub(self.last_tick.elapsed());
        let mut inputs = Vec::new();
        {
            let rx = self.rx.lock();
            match rx.recv_timeout(wait) {
                Ok(input) => inputs.push(input),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return false,
            }
            inputs.extend(rx.try_iter().take(MAX_INPUTS_PER_BATCH));
        }
        for input in inputs {
            match input {
                SchedInput::Event(event) => self.step(event),
                SchedInput::Inspect(read) => read(&self.parts.scheduler, self.parts.clock.now()),
                SchedInput::Stop => return false,
            }
        }
        if self.last_tick.elapsed() >= TICK_INTERVAL {
            self.last_tick = Instant::now();
            self.set_gauges_if_due();
            self.step(SchedEvent::Tick {
                leader_until: self.handle.leads_until(),
            });
        }
        true
    }

    fn set_gauges_if_due(&mut self) {
        if self.last_gauge_update.elapsed() < GAUGE_INTERVAL {
            return;
        }
        self.last_gauge_update = Instant::now();
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
        // Commands that the replica refused are returned to the scheduler as another event.
        while let Some(next) = event.take() {
            let actions = self.parts.scheduler.step(self.parts.clock.now(), next);
            let mut refused = Vec::new();
            for action in actions {
                match action {
                    SchedAction::Propose(commands) => refused.extend(self.propose(commands)),
                    SchedAction::Order { worker, order } => self.send_order(&worker, order),
                    SchedAction::Log(log) => {
                        let cell_ms = self.parts.cell_clock.now();
                        scheduler_events::record_metrics(
                            &self.parts.metrics,
                            &self.parts.cell,
                            cell_ms,
                            &log,
                        );
                        self.parts.events.emit(&scheduler_events::to_event(log));
                    }
                }
            }
            if !refused.is_empty() {
                event = Some(SchedEvent::NotProposed(refused));
            }
        }
    }

    /// Proposes commands and returns those that the replica refused, as it does when its queue is
    /// full.
    fn propose(&self, commands: Vec<Command>) -> Vec<Command> {
        let at_ms = self.parts.cell_clock.now();
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

    fn send_order(&self, worker: &WorkerName, order: WorkerOrder) {
        self.parts.routes.send(worker, order);
    }
}
