use std::{
    sync::{
        Arc,
        mpsc::{Receiver, RecvTimeoutError},
    },
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

use tarragon_dispatch::{AdviceRequest, Dispatcher, Input, Output};
use tarragon_names::Millis;
use tarragon_replica::{AbortOnPanic, Clock, ReplicaHandle};
use tarragon_telemetry::{Event, EventSink};
use tarragon_workflow::WorkflowState;
use tokio::runtime::Handle;
use tokio_util::sync::CancellationToken;

use crate::{
    EntryMetrics, ExternalServices, Reply, Request, WorkflowLog,
    available_tasks::AvailableTasks,
    delivery::Delivery,
    dispatch_handle::{DispatchEvent, DispatchHandle},
    entry_log,
    mesh::Mesh,
    unstarted_jobs::UnstartedJobs,
    worker_order::{OrderKey, WorkerOrder},
};

/// Interval between two ticks of the dispatcher.
const TICK_INTERVAL: Duration = Duration::from_millis(20);

/// Interval between two counts of the jobs that have not started.
const COUNT_INTERVAL: Millis = Millis(500);

/// Maximum number of queued events that one step handles in addition to the first one.
const MAX_BATCHED_EVENTS: usize = 1_024;

/// Time that a relayed request for advice may take beyond its timeout, for the messages to the
/// relaying host and back.
const RELAY_SLACK: Duration = Duration::from_millis(150);

/// State and interfaces that the thread of the dispatcher uses.
#[derive(Debug)]
pub(crate) struct DispatchParts {
    pub(crate) dispatcher: Dispatcher,
    pub(crate) workflow_state: Arc<WorkflowState>,
    pub(crate) handle: DispatchHandle,
    pub(crate) replica: ReplicaHandle<WorkflowLog>,
    pub(crate) mesh: Arc<Mesh>,
    pub(crate) available_tasks: Arc<AvailableTasks>,
    pub(crate) unstarted_jobs: Arc<UnstartedJobs>,
    pub(crate) external: ExternalServices,
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) events: Arc<dyn EventSink>,
    pub(crate) metrics: EntryMetrics,
    pub(crate) runtime: Handle,
    pub(crate) stop: CancellationToken,
}

/// Thread that owns the dispatcher and carries out its outputs.
#[derive(Debug)]
pub(crate) struct DispatchLoop {
    parts: DispatchParts,
    delivery: Delivery,
    rx: Receiver<DispatchEvent>,
}

impl DispatchLoop {
    pub(crate) fn start(
        parts: DispatchParts,
        delivery: Delivery,
        rx: Receiver<DispatchEvent>,
    ) -> JoinHandle<()> {
        let dispatch_loop = Self {
            parts,
            delivery,
            rx,
        };
        let spawned = thread::Builder::new()
            .name("dispatch".to_owned())
            .spawn(|| dispatch_loop.run());
        spawned.expect("a thread can be spawned at startup")
    }

    fn run(mut self) {
        let _guard = AbortOnPanic;
        let runtime = self.parts.runtime.clone();
        // Links to delivering hosts are opened on this thread.
        let _entered = runtime.enter();
        let mut last_tick = self.parts.clock.now();
        let mut next_count_at = last_tick;
        while !self.parts.stop.is_cancelled() {
            let mut events = Vec::new();
            match self.rx.recv_timeout(TICK_INTERVAL) {
                Ok(event) => events.push(event),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
            events.extend(self.rx.try_iter().take(MAX_BATCHED_EVENTS));
            let now = self.parts.clock.now();
            let mut inputs = self.delivery.check(now);
            for event in events {
                self.take(event, now, &mut inputs);
            }
            if now.since(last_tick).0 >= TICK_INTERVAL.as_millis() as u64 {
                last_tick = now;
                inputs.push(Input::Tick);
                if self.parts.workflow_state.has_open_wave() {
                    let tasks = self.parts.dispatcher.available_bounded_tasks(now);
                    self.parts.available_tasks.set(tasks);
                }
            }
            if now >= next_count_at {
                next_count_at = now + COUNT_INTERVAL;
                let counts = self.parts.dispatcher.unstarted_jobs();
                self.parts.unstarted_jobs.set(counts);
                let reports = self.parts.dispatcher.team_reports();
                self.parts.metrics.team_gauges.set(reports);
                let pairs = self.parts.dispatcher.interfering_pairs();
                self.parts.metrics.interfering_pairs.set(pairs as i64);
            }
            let timer = self.parts.metrics.dispatch_step.start_timer();
            let now_ms = self.parts.clock.wall_ms();
            let is_sole_leader = self.parts.handle.lease_at(now).is_some();
            let outputs = self
                .parts
                .dispatcher
                .step(now, now_ms, is_sole_leader, inputs);
            drop(timer);
            for output in outputs {
                self.carry_out(output, now);
            }
            self.delivery.send_batches();
        }
    }

    /// Adds the inputs that an event brings.
    fn take(&mut self, event: DispatchEvent, now: Millis, inputs: &mut Vec<Input>) {
        match event {
            DispatchEvent::Input(input) => {
                self.delivery.observe(&input, now);
                inputs.push(input);
            }
            DispatchEvent::Results { host, results } => {
                inputs.extend(self.delivery.take_results(&host, results, now));
            }
        }
    }

    fn carry_out(&mut self, output: Output, now: Millis) {
        match output {
            Output::Propose(command) => {
                let at_ms = self.parts.clock.wall_ms();
                let proposed = self
                    .parts
                    .replica
                    .propose_for_scheduler(at_ms, command.clone());
                if let Err(failure) = proposed {
                    let event = Event::warning("not_proposed").code(failure.code.number());
                    self.parts.events.emit(&event.detail(failure.cause));
                    self.parts.handle.send(Input::NotProposed(vec![command]));
                }
            }
            Output::Poll(call) => self.order(WorkerOrder::Poll(call), now),
            Output::Start(order) => self.order(WorkerOrder::Start(order), now),
            Output::Stop(order) => self.order(WorkerOrder::Stop(order), now),
            Output::Throttle(order) => self.order(WorkerOrder::Throttle(order), now),
            Output::RequestAdvice(call) => self.request_advice(call),
            Output::Event(decision) => {
                let decisions = &self.parts.metrics.decisions;
                decisions.with_label_values(&[decision.name]).inc();
                self.parts.events.emit(&entry_log::event_of(&decision));
            }
        }
    }

    /// Sends an order through the host that delivers to its worker, or from here.
    fn order(&mut self, order: WorkerOrder, now: Millis) {
        let Some(order) = self.delivery.queue(order, now) else {
            return;
        };
        let (handle, metrics) = (self.parts.handle.clone(), self.parts.metrics.clone());
        let key = OrderKey::of(&order);
        let workers = Arc::clone(&self.parts.external.workers);
        self.parts.runtime.spawn(async move {
            let time = metrics.external_call_time.with_label_values(&[key.label()]);
            let begun = Instant::now();
            let report = |result| {
                time.observe(begun.elapsed().as_secs_f64());
                metrics.count_result(key.label(), &result);
                if let Some(input) = key.clone().input(result) {
                    handle.send(input);
                }
            };
            order.send(workers.as_ref(), report).await;
        });
    }

    fn request_advice(&self, call: AdviceRequest) {
        let handle = self.parts.handle.clone();
        let metrics = self.parts.metrics.clone();
        let request_id = call.request_id;
        let timeout = Duration::from_millis(call.timeout.0);
        let mesh = Arc::clone(&self.parts.mesh);
        let external = self.parts.external.clone();
        let events = Arc::clone(&self.parts.events);
        self.parts.runtime.spawn(async move {
            let timer = metrics
                .external_call_time
                .with_label_values(&["advice"])
                .start_timer();
            let answer = if call.host == *mesh.links.own_host() {
                external
                    .advice
                    .request_advice(call.step, call.workers, timeout)
                    .await
            } else {
                let host = call.host.clone();
                let request = Request::Advise(call);
                match mesh.call(&host, &request, timeout + RELAY_SLACK).await {
                    Ok(Reply::Advice(answer)) => answer,
                    Ok(_) => None,
                    Err(failure) => {
                        let event = Event::warning("advice_not_relayed").peer(host);
                        events.emit(&event.code(failure.code.number()));
                        None
                    }
                }
            };
            drop(timer);
            let label = if answer.is_some() {
                "answered"
            } else {
                "unanswered"
            };
            metrics
                .external_calls
                .with_label_values(&["advice", label])
                .inc();
            handle.send(Input::AdviceFinished { request_id, answer });
        });
    }
}
