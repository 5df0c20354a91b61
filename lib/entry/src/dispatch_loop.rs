use std::{
    sync::{
        Arc,
        mpsc::{Receiver, RecvTimeoutError},
    },
    thread::{self, JoinHandle},
    time::Duration,
};

use futures::future::BoxFuture;
use tarragon_dispatch::{
    AdviceRequest, Dispatcher, Input, OrderOutcome, Output, PollCall, PollOutcome, StartOrder,
    StopOrder, ThrottleOrder,
};
use tarragon_replica::{AbortOnPanic, Clock, ReplicaHandle};
use tarragon_telemetry::{Event, EventSink};
use tarragon_workflow::WorkflowState;
use tokio::runtime::Handle;
use tokio_util::sync::CancellationToken;

use crate::{
    EntryMetrics, ExternalServices, Reply, Request, WorkflowLog, available_tasks::AvailableTasks,
    dispatch_handle::DispatchHandle, entry_log, mesh::Mesh,
};

/// Interval between two ticks of the dispatcher.
const TICK_INTERVAL: Duration = Duration::from_millis(20);

/// Maximum number of queued inputs that one step handles in addition to the first one.
const MAX_BATCHED_INPUTS: usize = 1_024;

/// Time that a poll may take in addition to the delay that the worker is allowed.
const POLL_SLACK: Duration = Duration::from_millis(600);

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
    rx: Receiver<Input>,
}

impl DispatchLoop {
    pub(crate) fn start(parts: DispatchParts, rx: Receiver<Input>) -> JoinHandle<()> {
        let spawned = thread::Builder::new()
            .name("dispatch".to_owned())
            .spawn(|| Self { parts, rx }.run());
        spawned.expect("a thread can be spawned at startup")
    }

    fn run(mut self) {
        let _guard = AbortOnPanic;
        let mut last_tick = self.parts.clock.now();
        while !self.parts.stop.is_cancelled() {
            let mut inputs = Vec::new();
            match self.rx.recv_timeout(TICK_INTERVAL) {
                Ok(input) => inputs.push(input),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
            inputs.extend(self.rx.try_iter().take(MAX_BATCHED_INPUTS));
            let now = self.parts.clock.now();
            if now.since(last_tick).0 >= TICK_INTERVAL.as_millis() as u64 {
                last_tick = now;
                inputs.push(Input::Tick);
                if self.parts.workflow_state.has_open_wave() {
                    let tasks = self.parts.dispatcher.available_bounded_tasks();
                    self.parts.available_tasks.set(tasks);
                }
            }
            let timer = self.parts.metrics.dispatch_step.start_timer();
            let now_ms = self.parts.clock.wall_ms();
            let is_sole_leader = self.parts.handle.is_leader_at(now);
            let outputs = self
                .parts
                .dispatcher
                .step(now, now_ms, is_sole_leader, inputs);
            drop(timer);
            for output in outputs {
                self.carry_out(output);
            }
        }
    }

    fn carry_out(&self, output: Output) {
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
            Output::Poll(call) => self.poll(call),
            Output::Start(order) => self.start_run(order),
            Output::Stop(order) => self.stop_run(order),
            Output::Throttle(order) => self.throttle_run(order),
            Output::RequestAdvice(call) => self.request_advice(call),
            Output::Event(decision) => {
                self.parts.events.emit(&entry_log::event_of(&decision));
            }
        }
    }

    fn poll(&self, call: PollCall) {
        let (handle, metrics) = (self.parts.handle.clone(), self.parts.metrics.clone());
        let (incarnation, fence) = (call.incarnation.clone(), call.fence);
        let timeout = Duration::from_millis(call.wait.0) + POLL_SLACK;
        let answer = self.parts.external.workers.poll(call, timeout);
        self.parts.runtime.spawn(async move {
            let outcome = answer.await;
            let label = match &outcome {
                PollOutcome::Answered(answer) => {
                    for run in &answer.finished {
                        let end = run.end.to_string();
                        metrics.run_ends.with_label_values(&[&end]).inc();
                    }
                    "answered"
                }
                PollOutcome::OtherIncarnation => "other_life",
                PollOutcome::Fenced => "fenced",
                PollOutcome::Unanswered => "unanswered",
            };
            metrics
                .external_calls
                .with_label_values(&["hold", label])
                .inc();
            handle.send(Input::PollFinished {
                fence,
                incarnation,
                outcome,
            });
        });
    }

    fn start_run(&self, order: StartOrder) {
        let (incarnation, task, run) = (order.incarnation.clone(), order.task, order.run);
        let (fence, timeout) = (order.fence, Duration::from_millis(order.timeout.0));
        let answer = self.parts.external.workers.start(order, timeout);
        self.spawn_order("start", answer, move |outcome| Input::StartOrderFinished {
            fence,
            incarnation,
            task,
            run,
            outcome,
        });
    }

    fn stop_run(&self, order: StopOrder) {
        let (incarnation, task, run) = (order.incarnation.clone(), order.task, order.run);
        let (fence, timeout) = (order.fence, Duration::from_millis(order.timeout.0));
        let answer = self.parts.external.workers.stop(order, timeout);
        self.spawn_order("stop", answer, move |outcome| Input::StopOrderFinished {
            fence,
            incarnation,
            task,
            run,
            outcome,
        });
    }

    fn throttle_run(&self, order: ThrottleOrder) {
        let (incarnation, task, run) = (order.incarnation.clone(), order.task, order.run);
        let (fence, timeout) = (order.fence, Duration::from_millis(order.timeout.0));
        let answer = self.parts.external.workers.throttle(order, timeout);
        self.spawn_order("pace", answer, move |outcome| {
            Input::ThrottleOrderFinished {
                fence,
                incarnation,
                task,
                run,
                outcome,
            }
        });
    }

    /// Spawns a task that waits for the outcome of an order, counts the outcome and sends it to the
    /// dispatcher.
    fn spawn_order<F>(
        &self,
        kind: &'static str,
        answer: BoxFuture<'static, OrderOutcome>,
        input_of: F,
    ) where
        F: FnOnce(OrderOutcome) -> Input + Send + 'static,
    {
        let (handle, metrics) = (self.parts.handle.clone(), self.parts.metrics.clone());
        self.parts.runtime.spawn(async move {
            let time = metrics.external_call_time.with_label_values(&[kind]);
            let timer = time.start_timer();
            let outcome = answer.await;
            drop(timer);
            count_order_outcome(&metrics, kind, outcome);
            handle.send(input_of(outcome));
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

fn count_order_outcome(metrics: &EntryMetrics, kind: &str, outcome: OrderOutcome) {
    let label = match outcome {
        OrderOutcome::Accepted => "accepted".to_owned(),
        OrderOutcome::Refused(refusal) => refusal.to_string(),
        OrderOutcome::Unanswered => "unanswered".to_owned(),
    };
    metrics
        .external_calls
        .with_label_values(&[kind, &label])
        .inc();
}
