//! Start orders without an answer, which a later incarnation of their worker may carry out.

use std::{collections::BTreeSet, sync::Arc};

use tarragon_names::{Millis, WorkerName};
use tarragon_workflow::{RunEnd, TaskKey, WorkerIncarnation};

use crate::{
    DecisionEvent, Dispatcher, FinishedOrder, FinishedRun, OrderOutcome, PollAnswer,
    earlier_lease::longest_on_slow_clock,
    run_view::{StartState, StopState},
    unanswered_starts::OrderTarget,
};

/// Longest time after its timeout for which a call may be carried out. The platform carries calls out
/// at most 12 s late.
pub(crate) const LATE_CALL_LIMIT: Millis = Millis(12_500);

/// What the log says of a step whose start order may come late.
struct StepTraits {
    is_long_running: bool,
    /// Whether a late order may start a task again: it names no ticket, which the worker would refuse in
    /// its next incarnation, and the step does not allow several runs at once.
    is_repeatable: bool,
}

impl Dispatcher {
    fn step_traits(&self, task: &TaskKey) -> Option<StepTraits> {
        let known = self.workflow_state.with_job(task.step.job, |job| {
            (job.queue.clone(), Arc::clone(&job.spec))
        });
        let (queue, spec) = known?;
        let queue = self.workflow_state.queue(&queue);
        let has_tickets = queue.is_some_and(|queue| queue.advice.is_some());
        // The description of a job is dropped once the job has ended.
        let step = spec.steps.get(task.step.step as usize);
        Some(StepTraits {
            is_long_running: step.is_some_and(|step| step.long_running),
            is_repeatable: !has_tickets && step.is_none_or(|step| !step.allow_duplicates),
        })
    }

    /// Target of the orders to a worker whose record is known.
    fn order_target(&self, worker: &WorkerName) -> Option<OrderTarget> {
        let state = self.workers.get(worker);
        state.map(|state| OrderTarget::of(&state.record))
    }

    /// Records that a start order for a task got no answer from a worker.
    pub(crate) fn start_unanswered(&mut self, task: TaskKey, worker: &WorkerName) {
        let target = self.order_target(worker);
        self.record_late_start(task, target, self.now + LATE_CALL_LIMIT);
    }

    /// Records that a start order of this host got no answer in time. Its answer may still come.
    pub(crate) fn start_awaits_answer(&mut self, task: TaskKey, worker: &WorkerName) {
        let Some(target) = self.order_target(worker) else {
            self.start_unanswered(task, worker);
            return;
        };
        if self.may_start_again(&task) {
            let until = self.now + LATE_CALL_LIMIT;
            self.unanswered_starts
                .record_open_order(task, target, until);
            self.new_unanswered_starts.push(task);
        }
    }

    /// Handles the answer to a start order that had counted as unanswered: the order can no longer be
    /// carried out, and a run that it has started goes on.
    ///
    /// An order that was accepted for a run that was stopped meanwhile proves nothing: the stop may have
    /// been accepted by an earlier incarnation than the order.
    pub(crate) fn start_order_settled(&mut self, order: &FinishedOrder) {
        let FinishedOrder {
            incarnation, task, ..
        } = order;
        let Some(state) = self.workers.get_incarnation_mut(incarnation) else {
            return;
        };
        let view = state.runs.get_mut(task);
        let view = view.filter(|view| view.run == order.run);
        let is_expected = view
            .as_ref()
            .is_some_and(|view| !view.is_ended && view.stop == StopState::NotRequested);
        if order.outcome == OrderOutcome::Accepted && !is_expected {
            return;
        }
        let is_deferred = view.is_some_and(|view| view.late_answers.defer());
        if !is_deferred {
            self.settle_order(task, &incarnation.worker);
        }
        if order.outcome == OrderOutcome::Accepted {
            self.start_order_finished(incarnation, *task, order.run, order.outcome);
        }
    }

    /// Settles the orders of a run that were answered late, now that the result of its last order is here.
    pub(crate) fn settle_late_answers(&mut self, last: &FinishedOrder) {
        let state = self.workers.get_incarnation_mut(&last.incarnation);
        let view = state.and_then(|state| state.runs.get_mut(&last.task));
        let Some(view) = view.filter(|view| view.run == last.run) else {
            return;
        };
        for _ in 0..view.late_answers.order_finished() {
            self.settle_order(&last.task, &last.incarnation.worker);
        }
    }

    /// Removes an order for a task that was answered late.
    fn settle_order(&mut self, task: &TaskKey, worker: &WorkerName) {
        if let Some(target) = self.order_target(worker)
            && self.unanswered_starts.settle_open_order(task, &target)
        {
            self.refresh_job(task.step.job);
        }
    }

    /// Records a start order that a worker may carry out until the time `until`.
    pub(crate) fn record_late_start(
        &mut self,
        task: TaskKey,
        target: Option<OrderTarget>,
        until: Millis,
    ) {
        if self.may_start_again(&task) {
            self.unanswered_starts.record(task, target, until);
            self.new_unanswered_starts.push(task);
        }
    }

    /// Returns whether a late order may start the task again.
    fn may_start_again(&self, task: &TaskKey) -> bool {
        let traits = self.step_traits(task);
        traits.is_none_or(|traits| traits.is_repeatable)
    }

    /// Records the start order that an earlier leader may have sent for a run on a silent worker. That leader
    /// may have ended before it recorded that the order had no answer.
    pub(crate) fn inherit_possible_start(&mut self, task: TaskKey, worker: &WorkerName) {
        let state = self.workers.get(worker);
        let view = state.and_then(|state| state.runs.get(&task));
        let is_possible = view.is_some_and(|view| {
            let is_inherited = view.start == StartState::Inherited && !view.is_ended;
            is_inherited && view.may_be_on_unnoticed_incarnation()
        });
        if is_possible {
            let target = self.order_target(worker);
            self.record_late_start(task, target, self.leading_since + LATE_CALL_LIMIT);
        }
    }

    /// Takes over the start orders of earlier leaders that got no answer and may still be carried out.
    pub(crate) fn inherit_unanswered_starts(&mut self) {
        let until = self.now + LATE_CALL_LIMIT;
        for (task, worker) in self.workflow_state.unanswered_starts(self.now_ms) {
            let target = worker.and_then(|worker| self.order_target(&worker));
            self.unanswered_starts.record(task, target, until);
        }
    }

    /// Returns whether the next run of a task waits, because a late order may start or may have started an
    /// earlier one on an incarnation that no call has reached. Otherwise both might go on at the same time.
    pub(crate) fn awaits_late_start(&self, task: &TaskKey) -> bool {
        self.unanswered_starts.contains(task)
    }

    /// Plans the tasks of which an answer of the worker at an address proves that no late order has started
    /// a run there: the answer was sent for after the last moment at which an order might be carried out.
    pub(crate) fn settle_late_starts(
        &mut self,
        incarnation: &WorkerIncarnation,
        answer: &PollAnswer,
        sent_at: Millis,
    ) {
        let Some(state) = self.workers.get(&incarnation.worker) else {
            return;
        };
        let address = state.record.address.clone();
        let overdue = self.unanswered_starts.overdue(&address, sent_at);
        if overdue.is_empty() || answer.is_truncated {
            return;
        }
        // The runs and the numbers of the ends are those of another incarnation if one has answered.
        let is_own = incarnation.may_have_started_at(answer.started_ms);
        let recorded_end = if is_own { state.record.acknowledged } else { 0 };
        let is_expected = |task: &TaskKey, run: u32| {
            let view = state.runs.get(task).filter(|view| !view.is_ended);
            is_own && view.is_some_and(|view| view.run == run)
        };
        let running = answer.running.iter();
        let running = running.filter(|status| !is_expected(&status.task, status.run));
        let ended = answer.finished.iter();
        let ended = ended.filter(|end| end.number > recorded_end);
        let open = running.map(|status| status.task);
        let open = open.chain(ended.map(|end| end.task));
        let open = open.collect::<BTreeSet<_>>();
        let settled = overdue.into_iter().filter(|task| !open.contains(task));
        for task in settled.collect::<Vec<_>>() {
            self.unanswered_starts.settle(&task, &address);
            self.refresh_job(task.step.job);
        }
    }

    /// Plans the tasks whose late runs have certainly ended, although their workers do not answer.
    pub(crate) fn expire_unanswered_starts(&mut self) {
        let (workers, cfg) = (&self.workers, self.cfg);
        let longest = longest_on_slow_clock(cfg.max_lease);
        let mut tasks = self.unanswered_starts.expire(self.now, |target, order| {
            let state = target.and_then(|target| {
                let state = workers.get(&target.worker);
                state.filter(|state| state.record.address == target.address)
            });
            let called_at = state.map_or(Millis(0), |state| state.last_lease_call_at);
            let called_at = called_at.max(order.last_lease_call_at);
            // A call that is carried out late extends the lease of the run.
            order
                .until
                .max(called_at + cfg.order_timeout + LATE_CALL_LIMIT)
                + longest
        });
        tasks.dedup_by_key(|task| task.step.job);
        for task in tasks {
            self.refresh_job(task.step.job);
        }
    }

    /// Delays the acknowledgement of a recorded end while a start order for its task may still be carried
    /// out. A worker that restarts meanwhile would run a task whose end is acknowledged.
    pub(crate) fn hold_end(
        &mut self,
        incarnation: &WorkerIncarnation,
        number: u64,
        task: &TaskKey,
        end: RunEnd,
    ) {
        if !matches!(end, RunEnd::Done | RunEnd::Failed) {
            return;
        }
        let state = self.workers.get_incarnation_mut(incarnation);
        let view = state.and_then(|state| state.runs.get(task));
        // The end of one member stands for the whole gang.
        let until = if view.is_some_and(|view| view.spec.is_gang) {
            self.unanswered_starts.until_of_step(task.step)
        } else {
            self.unanswered_starts.until(task)
        };
        if self.now < until {
            self.hold_end_until(incarnation, number, until);
        }
    }

    /// Delays the acknowledgement of ends that an earlier leader recorded and did not acknowledge. That
    /// leader may know of a start order that can still be carried out.
    pub(crate) fn hold_inherited_ends(
        &mut self,
        incarnation: &WorkerIncarnation,
        finished: &[FinishedRun],
    ) {
        let Some(state) = self.workers.get_incarnation_mut(incarnation) else {
            return;
        };
        let recorded = state.record.acknowledged;
        let until = self.now + LATE_CALL_LIMIT;
        for end in finished.iter().filter(|end| end.number <= recorded) {
            let traits = self.step_traits(&end.task);
            let may_repeat =
                traits.is_none_or(|traits| traits.is_repeatable && !traits.is_long_running);
            if may_repeat && matches!(end.end, RunEnd::Done | RunEnd::Failed) {
                self.hold_end_until(incarnation, end.number, until);
            }
        }
    }

    fn hold_end_until(&mut self, incarnation: &WorkerIncarnation, number: u64, until: Millis) {
        let Some(state) = self.workers.get_incarnation_mut(incarnation) else {
            return;
        };
        state.held_ends.hold(number, until);
        let wait = until.since(self.now).0;
        let detail = format!("end number {number}, for {wait} ms");
        let event = DecisionEvent::new("acknowledgement_held", detail);
        self.emit(event.worker(&incarnation.worker));
    }
}
