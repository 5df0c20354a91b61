//! Speeds of workers: what is learned from the runs of a step, and what it says about further ones.

use tarragon_names::{Millis, WorkerName};
use tarragon_workflow::{StepKey, TaskKey};

use crate::{
    Dispatcher,
    packing::Candidate,
    speed_rank::{SpeedClass, SpeedNeed},
    step_durations::{MIN_DURATION, compare},
    step_plan::StepPlan,
    worker_speed::{Comparison, MeanSpeed, SpeedFactor},
};

impl Dispatcher {
    /// Includes the duration of a successful run in those of its step.
    pub(crate) fn record_duration(&mut self, task: &TaskKey, worker: &WorkerName, ran: Millis) {
        let permille = self.speed_factor(worker).permille;
        self.step_durations.record(task.step, worker, ran, permille);
    }

    /// Learns the speeds of the workers that ran a step, after the step has ended.
    pub(crate) fn learn_speeds(&mut self, step: &StepKey) {
        let runs = self.step_durations.take(step);
        let mut compared = compare(&runs, |worker| self.speed_factor(worker).permille);
        let mut comparison = Comparison::Step;
        if compared.is_empty()
            && let Some(run) = runs.first().filter(|run| run.ran >= MIN_DURATION)
            && let Some(plan) = self.plans.get(step)
            && plan.step().estimate.0 > 0
        {
            let permille = run.ran.0 * 1_000 / plan.step().estimate.0;
            compared.push((run.worker.clone(), permille));
            comparison = Comparison::Estimate;
        }
        for (worker, permille) in compared {
            if let Some(state) = self.workers.get_mut(&worker) {
                state.speed.record(comparison, permille);
            }
        }
    }

    pub(crate) fn update_mean_speed(&mut self) {
        let speeds = self.workers.iter().map(|(_, state)| &state.speed);
        self.mean_speed = MeanSpeed::of(&speeds);
    }

    /// Duration of runs on a worker relative to the mean worker.
    pub(crate) fn speed_factor(&self, worker: &WorkerName) -> SpeedFactor {
        let state = self.workers.get(worker);
        state.map_or(SpeedFactor::UNKNOWN, |state| {
            state.speed.relative_to(self.mean_speed)
        })
    }

    /// Expected duration of a run of a step on the mean worker, and whether it follows from runs of
    /// the same step.
    pub(crate) fn expected_duration(&self, plan: &StepPlan) -> (Millis, bool) {
        match self.step_durations.on_mean_worker(&plan.key) {
            Some(duration) => (duration, true),
            None => (plan.step().estimate, false),
        }
    }

    /// Time until a step has to end so that its job meets its objective.
    pub(crate) fn time_left(&self, plan: &StepPlan) -> Millis {
        let later_steps = plan.spec.steps.iter().skip(plan.key.step as usize + 1);
        let later = later_steps.map(|step| step.estimate.0).sum::<u64>();
        Millis(plan.objective_ms.saturating_sub(self.now_ms + later))
    }

    /// Ranks the candidates for a step by their speeds.
    pub(crate) fn rank_by_speed(&self, plan: &StepPlan, candidates: &mut [Candidate]) {
        let (duration, is_measured) = self.expected_duration(plan);
        let pool = &plan.queue.pool;
        let is_lasting = plan.step().long_running;
        let need = SpeedNeed {
            duration: if is_lasting { Millis(0) } else { duration },
            is_measured,
            left: self.time_left(plan),
            available: self.workers.available_in(pool),
            capacity: self.workers.capacity_of(pool),
        };
        for candidate in candidates {
            candidate.speed_rank = need.rank(candidate.speed);
            candidate.speed_class = SpeedClass::of(candidate.speed);
        }
    }
}
