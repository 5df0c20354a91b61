//! Start orders without an answer, which a later incarnation of their worker may carry out.

use std::sync::Arc;

use tarragon_names::Millis;
use tarragon_workflow::{RunEnd, TaskKey, WorkerIncarnation};

use crate::{DecisionEvent, Dispatcher, FinishedRun};

/// Longest time after its timeout for which an order may be carried out. The platform carries orders out
/// at most 12 s late.
const LATE_START_LIMIT: Millis = Millis(12_500);

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

    /// Records that a start order for a task got no answer.
    pub(crate) fn start_unanswered(&mut self, task: TaskKey) {
        let traits = self.step_traits(&task);
        if traits.is_none_or(|traits| traits.is_repeatable) {
            let until = self.now + LATE_START_LIMIT;
            self.unanswered_starts.record(task, until);
            self.new_unanswered_starts.push(task);
        }
    }

    /// Takes over the start orders of earlier leaders that got no answer and may still be carried out.
    pub(crate) fn inherit_unanswered_starts(&mut self) {
        let until = self.now + LATE_START_LIMIT;
        for task in self.workflow_state.unanswered_starts(self.now_ms) {
            self.unanswered_starts.record(task, until);
        }
    }

    /// Returns whether the next run of a task waits until no order for an earlier one can be carried out
    /// any more. Otherwise both might go on at the same time. Tasks that last do not wait, because their
    /// users would miss them for longer than after the loss of a worker.
    pub(crate) fn awaits_late_start(&self, task: &TaskKey, is_long_running: bool) -> bool {
        !is_long_running && self.now < self.unanswered_starts.until(task)
    }

    /// Plans the tasks whose late orders can no longer be carried out.
    pub(crate) fn expire_unanswered_starts(&mut self) {
        let mut jobs = self.unanswered_starts.expire(self.now);
        jobs.dedup_by_key(|task| task.step.job);
        for task in jobs {
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
        let until = self.now + LATE_START_LIMIT;
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
