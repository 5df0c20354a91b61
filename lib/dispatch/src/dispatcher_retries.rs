//! Placement of tasks of wide steps that run again.

use tarragon_workflow::StepKey;

use crate::{
    Dispatcher,
    dispatcher_place::Claims,
    packing::Candidate,
    retries::{is_sure, put_first},
    step_plan::StepPlan,
    worker_state::WorkerState,
};

impl Dispatcher {
    /// Places the waiting tasks of a wide step that run again, without its others.
    pub(crate) fn place_retries(&mut self, key: StepKey, claims: &mut Claims) {
        let Some(plan) = self.plans.get_mut(&key) else {
            return;
        };
        let count = put_first(&mut plan.waiting, &plan.restarted);
        let others = plan.waiting.split_off(count);
        // A request for advice on a few tasks would delay that on the others.
        if others.is_empty() || plan.queue.advice.is_none() {
            self.place_step(key, claims);
        }
        if let Some(plan) = self.plans.get_mut(&key) {
            plan.waiting.extend(others);
        }
    }

    /// Marks the candidates on which a task that runs again may fail once more.
    pub(crate) fn mark_unsure(&self, plan: &StepPlan, candidates: &mut [Candidate]) {
        if !plan.has_retries() {
            return;
        }
        for candidate in candidates {
            let state = self.workers.get(&candidate.worker);
            let is_sure = |state: &WorkerState| is_sure(state.outcomes, candidate.is_slow);
            candidate.is_unsure = !state.is_some_and(is_sure);
        }
    }
}
