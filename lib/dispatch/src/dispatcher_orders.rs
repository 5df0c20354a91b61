//! Orders to start and stop runs, from the committed decision to the certain end of the run.

use std::{collections::BTreeSet, sync::Arc};

use tarragon_names::{Millis, Name, WorkerName};
use tarragon_workflow::{Command, TaskKey, WorkerIncarnation, WorkflowState};

use crate::{
    DecisionEvent, DispatchConfig, Dispatcher, FinishedOrder, Input, OrderOutcome, Output, Refusal,
    StartOrder, StopOrder,
    backoff::backoff,
    load_counters::StopCause,
    loss_cause::LossCause,
    run_view::{RunView, START_ORDER_LIFETIME, StartState, StopState},
};

/// Time without placements on a worker that refused a start as unhealthy or full.
const REFUSING_WORKER_PAUSE: Millis = Millis(1_000);

/// Time without placements of a step after a refusal, so that a permanent cause does not fill the
/// log.
const REFUSED_STEP_PAUSE: Millis = Millis(100);

/// Number of start orders of one run of a task that lasts which may stay unanswered. Its next run waits for
/// seconds until none of them can be carried out, and its users miss it, so the same run is ordered again
/// for longer.
const MAX_UNANSWERED_STARTS_OF_LASTING: u32 = 5;

/// A start order that is to be sent now.
struct DueStart {
    task: TaskKey,
    run: u32,
    ticket: Option<Name>,
    checkpoint: Option<Name>,
    timeout: Millis,
    is_repeated: bool,
}

impl Dispatcher {
    /// Handles a committed placement: the start order may be sent, unless the job has ended in the
    /// meantime.
    pub(crate) fn placed_applied(&mut self, task: &TaskKey, run: u32, worker: &WorkerName) {
        let workflow_state = Arc::clone(&self.workflow_state);
        let is_current = workflow_state.with_job(task.step.job, |job| {
            job.task(task).is_some_and(|t| t.is_placed_as(run))
        });
        let state = self.workers.get_mut(worker);
        let Some(view) = state.and_then(|state| state.runs.get_mut(task)) else {
            // The worker was removed; a later record in the log says so.
            return;
        };
        if view.run != run || view.start != StartState::Committing {
            return;
        }
        if is_current != Some(true) {
            self.remove_run_view(task, worker);
        } else if view.stop == StopState::NotRequested {
            view.start = StartState::Unanswered { again_at: self.now };
        } else {
            self.lose_run(*task, worker, LossCause::NotOrdered);
        }
    }

    /// Marks a run as lost that has certainly ended, and frees its capacity.
    pub(crate) fn lose_run(&mut self, task: TaskKey, worker: &WorkerName, cause: LossCause) {
        let state = self.workers.get_mut(worker);
        let Some(state) = state else {
            return;
        };
        let Some(view) = state.runs.get(&task).filter(|view| !view.is_ended) else {
            return;
        };
        let (run, checkpoint) = (view.run, view.checkpoint.clone());
        state.set_ended(&task, true);
        self.emit(
            DecisionEvent::new("run_lost", cause.to_string())
                .task(task, run)
                .worker(worker),
        );
        self.record_lost(task, run, checkpoint);
        self.needs_placement = true;
    }

    /// Reports an order that a worker refused because it has seen a higher token: that of a later leader,
    /// or that of its present incarnation. The refusal counts also after this host has lost the lead.
    pub(crate) fn report_refused_token(&mut self, input: &Input) {
        let (kind, order) = match input {
            Input::StartOrderFinished(order) => ("start", order),
            Input::StopOrderFinished(order) => ("stop", order),
            Input::ThrottleOrderFinished(order) => ("rate", order),
            _ => return,
        };
        let FinishedOrder {
            fence, incarnation, ..
        } = order;
        if order.outcome == OrderOutcome::Refused(Refusal::Fence) {
            let state = self.workers.get(&incarnation.worker);
            let is_for_earlier_incarnation = state
                .is_some_and(|state| state.fence > *fence && state.fence.term() == fence.term());
            let name = if is_for_earlier_incarnation {
                "order_refused_for_incarnation"
            } else {
                "order_refused_for_term"
            };
            let detail = format!("{kind} order with token {fence}, {incarnation}");
            let event = DecisionEvent::new(name, detail);
            let event = event.task(order.task, order.run);
            self.emit(event.worker(&incarnation.worker).warning());
        }
    }

    pub(crate) fn start_order_finished(
        &mut self,
        incarnation: &WorkerIncarnation,
        task: TaskKey,
        run: u32,
        outcome: OrderOutcome,
    ) {
        let now = self.now;
        if outcome == OrderOutcome::Unanswered {
            self.start_awaits_answer(task, &incarnation.worker);
        }
        let Some(state) = self.workers.get_incarnation_mut(incarnation) else {
            return;
        };
        if outcome.is_answer() {
            state.last_contact = now;
            state.last_lease_call_at = now;
        }
        let Some(view) = state.runs.get_mut(&task).filter(|view| view.run == run) else {
            return;
        };
        let is_stale = !matches!(view.start, StartState::Sent);
        if outcome != OrderOutcome::Unanswered && !view.has_unanswered_start {
            view.start_may_arrive_until = Millis(0);
        }
        let has_unanswered_start = view.has_unanswered_start;
        match outcome {
            OrderOutcome::Accepted => {
                view.unsent_orders = 0;
                if !matches!(view.start, StartState::Present { .. }) {
                    view.start = StartState::Present { since: now };
                }
                return;
            }
            OrderOutcome::Unanswered => {
                view.has_unanswered_start = true;
                if !is_stale {
                    view.start = StartState::Unanswered { again_at: now };
                }
                if view.start_attempts >= max_unanswered_starts(&self.cfg, view) && !is_stale {
                    view.request_stop(StopCause::StartUnanswered, &mut self.load_counters, now);
                    view.start = StartState::Inherited;
                    self.stop_gang(task.step, run);
                }
            }
            OrderOutcome::NotSent if is_stale => return,
            OrderOutcome::NotSent => {
                view.start_attempts = view.start_attempts.saturating_sub(1);
                view.unsent_orders += 1;
                let delay = backoff(self.cfg.unsent_retry, view.unsent_orders, &task);
                let again_at = now + delay;
                view.start = StartState::Unanswered { again_at };
            }
            OrderOutcome::Refused(_) if is_stale || view.is_ended => return,
            OrderOutcome::Refused(refusal) => {
                self.start_refused(incarnation, task, run, refusal, has_unanswered_start);
            }
        }
        self.emit(
            DecisionEvent::new("start_not_accepted", format!("{outcome}, {incarnation}"))
                .task(task, run)
                .worker(&incarnation.worker)
                .warning(),
        );
    }

    fn start_refused(
        &mut self,
        incarnation: &WorkerIncarnation,
        task: TaskKey,
        run: u32,
        refusal: Refusal,
        has_unanswered_start: bool,
    ) {
        let now = self.now;
        if refusal == Refusal::OtherIncarnation {
            self.another_worker_answers(incarnation);
            return;
        }
        if let Some(plan) = self.plans.get_mut(&task.step) {
            plan.not_before = now + REFUSED_STEP_PAUSE;
            if refusal == Refusal::Ticket
                && let Some(approval) = plan.advice.approved.get_mut(&incarnation.worker)
            {
                approval.usable_until = Millis(0);
            }
        }
        if let Some(state) = self.workers.get_mut(&incarnation.worker) {
            match refusal {
                Refusal::Unhealthy | Refusal::Capacity | Refusal::Unreachable => {
                    state.avoid_until = state.avoid_until.max(now + REFUSING_WORKER_PAUSE);
                }
                Refusal::Fence => state.suspend_polls(now),
                _ => {}
            }
            if let Some(view) = state.runs.get_mut(&task)
                && has_unanswered_start
            {
                // An earlier order for this run may still arrive; the stop prevents the run from
                // starting.
                view.request_stop(StopCause::StartUnanswered, &mut self.load_counters, now);
                view.start = StartState::Inherited;
            }
        }
        if !has_unanswered_start && refusal != Refusal::Fence {
            self.lose_run(task, &incarnation.worker, LossCause::Refused);
        }
        self.stop_gang(task.step, run);
    }

    pub(crate) fn stop_order_finished(
        &mut self,
        incarnation: &WorkerIncarnation,
        task: TaskKey,
        run: u32,
        outcome: OrderOutcome,
    ) {
        let now = self.now;
        let (first_retry, first_unsent_retry) = (self.cfg.order_retry, self.cfg.unsent_retry);
        let Some(state) = self.workers.get_incarnation_mut(incarnation) else {
            return;
        };
        if outcome == OrderOutcome::Refused(Refusal::OtherIncarnation) {
            self.another_worker_answers(incarnation);
            return;
        }
        if outcome == OrderOutcome::Refused(Refusal::Fence) {
            state.suspend_polls(now);
        }
        let mut is_refused_after_restart = outcome == OrderOutcome::Accepted
            && self.late_orders.stop_accepted(incarnation, (task, run));
        if let Some(view) = state.runs.get_mut(&task).filter(|view| view.run == run) {
            is_refused_after_restart |= outcome == OrderOutcome::Accepted && !view.is_refused();
            view.failed_stops += 1;
            view.stop = match outcome {
                OrderOutcome::Accepted => StopState::Accepted { at: now },
                OrderOutcome::NotSent => {
                    let delay = backoff(first_unsent_retry, view.failed_stops, &task);
                    StopState::Requested { at: now + delay }
                }
                _ => {
                    let delay = backoff(first_retry, view.failed_stops, &task);
                    StopState::Requested { at: now + delay }
                }
            };
        }
        if is_refused_after_restart {
            let event = DecisionEvent::new("run_refused_after_restart", String::new());
            self.emit(event.task(task, run).worker(&incarnation.worker));
        }
        if outcome != OrderOutcome::Accepted {
            self.emit(
                DecisionEvent::new("stop_not_accepted", outcome.to_string())
                    .task(task, run)
                    .worker(&incarnation.worker)
                    .warning(),
            );
        }
    }

    /// Proposes the removal of a worker whose incarnation has ended.
    pub(crate) fn remove_incarnation(&mut self, incarnation: &WorkerIncarnation, cause: &str) {
        self.emit(
            DecisionEvent::new("worker_gone", cause.to_owned())
                .worker(&incarnation.worker)
                .warning(),
        );
        let command = Command::RemoveWorker(incarnation.clone());
        self.outputs.push(Output::Propose(command));
        if let Some(state) = self.workers.get_mut(&incarnation.worker) {
            state.is_lease_expired = true;
            state.suspend_polls(self.now);
        }
    }

    /// Tells the present incarnations of workers to refuse the start orders that may still arrive for
    /// runs that have ended.
    pub(crate) fn stop_late_orders(&mut self) {
        let (now, cfg) = (self.now, self.cfg);
        self.late_orders.expire(now);
        let workers = self.late_orders.workers().cloned().collect::<Vec<_>>();
        for worker in workers {
            let Some(state) = self.workers.get(&worker) else {
                continue;
            };
            if !state.takes_orders() {
                continue;
            }
            let incarnation = state.incarnation();
            let runs = self.late_orders.take_due(incarnation, now, &cfg);
            let stops = runs.into_iter().map(|(task, run)| {
                Output::Stop(StopOrder {
                    incarnation: incarnation.clone(),
                    address: state.record.address.clone(),
                    task,
                    run,
                    fence: state.fence,
                    timeout: cfg.order_timeout,
                })
            });
            self.outputs.extend(stops);
        }
    }

    /// Declares the runs lost that were placed on silent workers and not ordered yet. Such a worker may have
    /// restarted, and would carry a start order out late.
    pub(crate) fn leave_silent_workers(&mut self, changed: &BTreeSet<WorkerName>) {
        let mut unordered = Vec::new();
        self.workers.for_each_mut(changed, |worker, state| {
            if state.poll_failures > 0 {
                let runs = state.runs.iter();
                let runs = runs.filter(|(_, view)| !view.is_ended && view.is_unordered());
                unordered.extend(runs.map(|(task, view)| (*task, view.run, worker.clone())));
            }
        });
        for (task, run, worker) in unordered {
            self.lose_run(task, &worker, LossCause::NotOrdered);
            self.stop_gang(task.step, run);
        }
    }

    /// Sends the orders that are due. A silent worker gets no start orders.
    pub(crate) fn send_due_orders(&mut self, changed: &BTreeSet<WorkerName>) {
        let (now, cfg) = (self.now, self.cfg);
        let workflow_state = Arc::clone(&self.workflow_state);
        let mut starts = Vec::new();
        let mut stops = Vec::new();
        let mut unsent = Vec::new();
        self.workers.for_each_mut(changed, |worker, state| {
            if !state.takes_orders() {
                return;
            }
            let is_silent = state.poll_failures > 0;
            let mut due = Vec::new();
            for (task, view) in state.runs.iter_mut().filter(|(_, view)| !view.is_ended) {
                if let StopState::Requested { at } = view.stop {
                    if view.start == StartState::Committing || now < at {
                        continue;
                    }
                    if view.is_unordered() {
                        unsent.push((*task, worker.clone()));
                    } else {
                        view.stop = StopState::Sent;
                        stops.push(StopOrder {
                            incarnation: state.record.incarnation.clone(),
                            address: state.record.address.clone(),
                            task: *task,
                            run: view.run,
                            fence: state.fence,
                            timeout: cfg.order_timeout,
                        });
                    }
                } else if let StartState::Unanswered { again_at } = view.start
                    && !is_silent
                    && view.stop == StopState::NotRequested
                    && again_at <= now
                {
                    view.start = StartState::Sent;
                    view.late_answers.order_sent();
                    view.start_attempts += 1;
                    view.start_may_arrive_until = now + START_ORDER_LIFETIME;
                    let timeout = if view.start_attempts == 1 {
                        cfg.first_start_timeout
                    } else {
                        cfg.order_timeout
                    };
                    let (ticket, checkpoint) = (view.ticket.clone(), view.resume_from.clone());
                    let is_repeated = view.start_attempts > 1;
                    due.push(DueStart {
                        task: *task,
                        run: view.run,
                        ticket,
                        checkpoint,
                        timeout,
                        is_repeated,
                    });
                }
            }
            for start in due {
                if let Some(lease_until_ms) = state.grant_lease(now, cfg.lease)
                    && let Some(payload) = payload_of(&workflow_state, &start.task)
                {
                    starts.push(StartOrder {
                        incarnation: state.record.incarnation.clone(),
                        address: state.record.address.clone(),
                        task: start.task,
                        run: start.run,
                        payload,
                        lease_until_ms,
                        fence: state.fence,
                        checkpoint: start.checkpoint,
                        ticket: start.ticket,
                        timeout: start.timeout,
                        is_repeated: start.is_repeated,
                    });
                }
            }
        });
        for (task, worker) in unsent {
            self.lose_run(task, &worker, LossCause::NotOrdered);
        }
        self.outputs.extend(stops.into_iter().map(Output::Stop));
        self.outputs.extend(starts.into_iter().map(Output::Start));
    }
}

/// Number of start orders of a run that may stay unanswered before the run is stopped.
fn max_unanswered_starts(cfg: &DispatchConfig, view: &RunView) -> u32 {
    // The other members of a gang wait for the run, and a ticket shuts out late orders.
    let is_patient = view.spec.is_long_running && !view.spec.is_gang && view.ticket.is_none();
    if is_patient {
        MAX_UNANSWERED_STARTS_OF_LASTING.max(cfg.max_unanswered_starts)
    } else {
        cfg.max_unanswered_starts
    }
}

/// Payload for the start of a task; `None` once all tasks of its occurrence are done.
fn payload_of(workflow_state: &WorkflowState, task: &TaskKey) -> Option<Name> {
    let payload = workflow_state.with_job(task.step.job, |job| {
        let is_open = job.task(task).is_some();
        is_open.then(|| job.spec.payload.clone())
    });
    payload.flatten()
}
