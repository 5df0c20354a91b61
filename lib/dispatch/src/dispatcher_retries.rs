//! Placement of tasks of wide steps that run again.

use tarragon_workflow::StepKey;

use crate::{
    Dispatcher,
    dispatcher_place::Claims,
    packing::{Candidate, Trust},
    retries::{is_sure, put_first},
    speed_rank::SpeedClass,
    step_plan::StepPlan,
};

impl Dispatcher {
    /// Places the tasks of wide steps that run again, before all other tasks of this queue priority.
    pub(crate) fn place_retries(&mut self, priority: u32, claims: &mut Claims) {
        let now = self.now;
        let plans = self.plans.values().filter(|plan| {
            plan.queue.priority == priority && plan.not_before <= now && plan.has_retries()
        });
        let mut order = plans
            .map(|plan| (plan.due_ms, plan.key))
            .collect::<Vec<_>>();
        order.sort_unstable();
        for (_, key) in order {
            self.place_retries_of(key, claims);
        }
    }

    fn place_retries_of(&mut self, key: StepKey, claims: &mut Claims) {
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
            let class = SpeedClass::of(candidate.speed);
            if state.is_none_or(|state| !is_sure(state.outcomes, class)) {
                candidate.trust = candidate.trust.max(Trust::Unsure);
            }
        }
    }
}
