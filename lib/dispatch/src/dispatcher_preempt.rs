//! Preemption: stops runs of less urgent queues to free capacity for steps of urgent ones.

use tarragon_names::{Millis, Resources, WorkerName};
use tarragon_workflow::{StepKey, TaskKey};

use crate::{
    DecisionEvent, Dispatcher,
    dispatcher_place::{CandidateSet, Claims},
    load_counters::StopCause,
    packing::Candidate,
    worker_state::WorkerState,
};

/// Time from the end of a stopped run until the leader knows of it.
const END_REPORT_SLACK: Millis = Millis(200);

/// Pause between two attempts to preempt for a step; each attempt scans every run on its
/// candidates.
const PREEMPTION_RETRY_PAUSE: Millis = Millis(100);

/// Number of stop orders that may stay unaccepted, in percent of the workers, before preemption
/// pauses. Without the pause, stops that do not get through are followed by ever more stops.
const MAX_UNACCEPTED_STOPS_PERCENT: usize = 5;

/// Number of unaccepted stop orders that never pauses preemption, so that one bad worker of a few does
/// not.
const MIN_UNACCEPTED_STOPS: usize = 8;

/// Number of tasks that fit on a worker now, and after its preemptible runs were stopped.
pub(crate) struct PreemptionCandidate {
    pub(crate) worker: WorkerName,
    fits_now: u32,
    fits_after: u32,
}

impl Dispatcher {
    /// Stops runs of less urgent queues if that frees capacity for the waiting tasks of a step, and
    /// reserves the capacity. Only runs that resume from a checkpoint are stopped.
    ///
    /// Returns whether capacity is reserved for the step.
    pub(crate) fn preempt(
        &mut self,
        key: StepKey,
        candidate_set: CandidateSet,
        claims: &Claims,
    ) -> bool {
        let (now, now_ms, lowest_priority) = (self.now, self.now_ms, self.lowest_priority);
        let Some(plan) = self.plans.get(&key) else {
            return false;
        };
        if now < plan.capacity_by {
            return true;
        }
        // Capacity that is free too late for the objective is not worth the delay of other work.
        let capacity_at_ms =
            now_ms + (self.cfg.stop_time + END_REPORT_SLACK + plan.step().estimate).0;
        let may_preempt =
            plan.queue.priority < lowest_priority && capacity_at_ms <= plan.objective_ms;
        if !may_preempt || now < plan.next_preemption_at || self.are_stops_stuck() {
            return false;
        }
        let step = plan.step();
        let (need, priority) = (step.reserved(), plan.queue.priority);
        let count = plan.waiting.len() as u32;
        let candidates = self.candidates(&key, candidate_set, claims);
        let mut preemption_candidates = candidates
            .into_iter()
            .filter_map(|candidate| self.preemption_candidate(candidate, &need, priority))
            .collect::<Vec<_>>();
        preemption_candidates
            .sort_by_key(|p| std::cmp::Reverse((p.fits_after - p.fits_now, p.fits_now)));
        let total_fits_now = preemption_candidates
            .iter()
            .map(|p| p.fits_now)
            .sum::<u32>();
        let mut remaining = count.saturating_sub(total_fits_now);
        let mut chosen = Vec::new();
        for candidate in preemption_candidates {
            let more = (candidate.fits_after - candidate.fits_now).min(remaining);
            remaining -= more;
            if candidate.fits_now + more > 0 {
                chosen.push((candidate.worker, candidate.fits_now + more));
            }
        }
        if chosen.is_empty() || (step.gang && remaining > 0) {
            let pause = if chosen.is_empty() {
                Millis(0)
            } else {
                PREEMPTION_RETRY_PAUSE
            };
            if let Some(plan) = self.plans.get_mut(&key) {
                plan.next_preemption_at = now + pause;
            }
            return false;
        }
        let mut stopped = 0;
        for (worker, tasks) in &chosen {
            stopped += self.stop_runs_for(&key, worker, need.times(u64::from(*tasks)), priority);
        }
        self.reserve(&key, &chosen);
        let capacity_by = self.now + self.cfg.stop_time + END_REPORT_SLACK;
        if let Some(plan) = self.plans.get_mut(&key) {
            plan.capacity_by = capacity_by;
        }
        let detail = format!(
            "step {key}, {count} tasks of {need}: {stopped} runs stopped, {} workers reserved",
            chosen.len()
        );
        self.emit(DecisionEvent::new("room_made", detail).job(key.job));
        true
    }

    /// Returns whether so many stop orders stay unaccepted that no more runs are to be stopped.
    fn are_stops_stuck(&self) -> bool {
        let limit = self.workers.len() * MAX_UNACCEPTED_STOPS_PERCENT / 100;
        self.unaccepted_stops > limit.max(MIN_UNACCEPTED_STOPS)
    }

    pub(crate) fn preemption_candidate(
        &self,
        candidate: Candidate,
        need: &Resources,
        priority: u32,
    ) -> Option<PreemptionCandidate> {
        let state = self.workers.get(&candidate.worker)?;
        let fits_now = candidate.fits(need);
        let freed_candidate = Candidate {
            free: candidate.free + state.preemptible_for(priority),
            ..candidate
        };
        Some(PreemptionCandidate {
            fits_now,
            fits_after: freed_candidate.fits(need),
            worker: freed_candidate.worker,
        })
        .filter(|candidate| candidate.fits_after > 0)
    }

    /// Stops runs on a worker until `needed` is free there for a step. Returns the number of
    /// stopped runs.
    fn stop_runs_for(
        &mut self,
        key: &StepKey,
        worker: &WorkerName,
        needed: Resources,
        priority: u32,
    ) -> usize {
        let now = self.now;
        let Some(state) = self.workers.get_mut(worker) else {
            return 0;
        };
        let mut free = state.free_for(key);
        let mut victims = preemptible(state, priority).collect::<Vec<_>>();
        // Stops the least urgent runs first, and of these the largest, so that few runs are
        // stopped.
        victims.sort_by_key(|(task, need)| {
            std::cmp::Reverse((state.runs[task].spec.priority, need.cpu_milli))
        });
        let mut stopped = Vec::new();
        for (task, need) in victims {
            if needed.fits(&free) {
                break;
            }
            free += need;
            if let Some(view) = state.runs.get_mut(&task) {
                view.request_stop(StopCause::Preempted, &mut self.load_counters, now);
                stopped.push((task, view.run));
            }
        }
        for (task, run) in &stopped {
            let event = DecisionEvent::new("run_preempted", format!("for step {key}"));
            self.emit(event.task(*task, *run).worker(worker));
        }
        stopped.len()
    }
}

/// Runs on a worker that may be stopped for a queue of the given priority.
fn preemptible(state: &WorkerState, priority: u32) -> impl Iterator<Item = (TaskKey, Resources)> {
    let runs = state
        .runs
        .iter()
        .filter(move |(_, view)| view.spec.priority > priority && view.is_preemptible());
    runs.map(|(task, view)| (*task, view.spec.need))
}
