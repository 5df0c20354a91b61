//! Workers that fail the runs placed on them: pauses, quarantine and return.

use tarragon_health::HealthDecision;
use tarragon_names::{JobId, Millis, WorkerName};
use tarragon_workflow::{RunEnd, TaskKey};

use crate::{DecisionEvent, Dispatcher, dispatcher::MAX_FAILING_PERCENT};

/// Time without placements on a worker after the first failed run.
const FAILED_RUN_PAUSE: Millis = Millis(1_000);

/// Number of failed jobs after which the pause no longer doubles.
const MAX_PAUSE_DOUBLINGS: usize = 2;

impl Dispatcher {
    /// Counts the end of a run for or against the health of its worker.
    pub(crate) fn record_health(&mut self, task: &TaskKey, worker: &WorkerName, end: RunEnd) {
        let job = JobId(task.step.job.0);
        match end {
            RunEnd::Done => {
                self.record_outcome(worker, false);
                self.pause_workers_at_fault(task, worker);
                let decisions = self.health.record_success(worker, job, self.now);
                self.apply_health_decisions(decisions);
            }
            RunEnd::Failed => {
                if let Some(plan) = self.plans.get_mut(&task.step) {
                    plan.failed_on.insert(worker.clone());
                    let workers = plan.failed_tasks.entry(task.index).or_default();
                    if workers.iter().any(|other| other != worker) {
                        self.retry_outcomes.record(false);
                    }
                    workers.insert(worker.clone());
                }
                self.record_outcome(worker, true);
                self.pause_failing_worker(worker);
                let decisions = self.health.record_failure(worker, job, self.now, true);
                self.apply_health_decisions(decisions);
            }
            _ => {}
        }
    }

    fn record_outcome(&mut self, worker: &WorkerName, is_failure: bool) {
        if let Some(state) = self.workers.get_mut(worker) {
            self.failure_rate.record(&mut state.outcomes, is_failure);
        }
    }

    /// Returns whether the latest failures on a worker are more than ordinary ones.
    fn has_improbable_failures(&self, worker: &WorkerName) -> bool {
        let state = self.workers.get(worker);
        self.failure_rate.is_low()
            || state.is_some_and(|state| self.failure_rate.is_improbable(state.outcomes))
    }

    /// Places nothing on a worker for a while after a run failed there of a job that failed on no
    /// other worker, and longer after each further such job with no success in between.
    ///
    /// A worker that fails everything would otherwise end many gangs before enough different jobs
    /// have failed there for its quarantine; a sound one loses little. Before a job was tried
    /// again it is unknown who is at fault, so a limit holds: many jobs that fail everywhere would
    /// pause all workers, and with them the further attempts that tell.
    fn pause_suspected_worker(&mut self, worker: &WorkerName, failed_jobs: usize) {
        if !self.has_improbable_failures(worker) {
            return;
        }
        let now = self.now;
        let others = self.workers.iter().filter(|(name, _)| *name != worker);
        let suspected = others.filter(|(_, state)| state.is_suspected(now));
        let limit = (self.workers.len() * MAX_FAILING_PERCENT / 100).max(1);
        if suspected.count() >= limit {
            return;
        }
        if let Some(state) = self.workers.get_mut(worker) {
            let pause = failed_run_pause(failed_jobs);
            state.paused_until = state.paused_until.max(now + pause);
        }
    }

    /// Places nothing for a while on the workers on which a task failed that succeeded on another
    /// one.
    ///
    /// The task does not fail everywhere, so those workers were at fault unless their failures are
    /// ordinary ones, and no limit holds. Other tasks of its job may still fail everywhere.
    fn pause_workers_at_fault(&mut self, task: &TaskKey, succeeded_on: &WorkerName) {
        let until = self.now + FAILED_RUN_PAUSE;
        let plan = self.plans.get_mut(&task.step);
        let failed_on = plan.and_then(|plan| plan.failed_tasks.remove(&task.index));
        let mut failed_on = failed_on.unwrap_or_default();
        failed_on.remove(succeeded_on);
        if !failed_on.is_empty() {
            self.retry_outcomes.record(true);
        }
        for worker in failed_on {
            if !self.has_improbable_failures(&worker) {
                continue;
            }
            if let Some(state) = self.workers.get_mut(&worker) {
                state.failing_until = state.failing_until.max(until);
            }
        }
    }

    /// Places nothing on a worker for a while after a failed run, and longer after each further one
    /// with no success in between, while most failed tasks succeed on another worker.
    ///
    /// Where many workers are bad, a job fails on several of them and looks to the health table
    /// like one that fails everywhere.
    fn pause_failing_worker(&mut self, worker: &WorkerName) {
        if !self.retry_outcomes.blame_workers() || !self.has_improbable_failures(worker) {
            return;
        }
        if let Some(state) = self.workers.get_mut(worker) {
            let pause = failed_run_pause(state.outcomes.failures_in_a_row as usize);
            state.failing_until = state.failing_until.max(self.now + pause);
        }
    }

    fn apply_health_decisions(&mut self, decisions: Vec<HealthDecision>) {
        for decision in decisions {
            match decision {
                HealthDecision::Suspect {
                    worker,
                    failed_jobs,
                } => self.pause_suspected_worker(&worker, failed_jobs),
                HealthDecision::Quarantine { worker, probe_at } => {
                    if let Some(state) = self.workers.get_mut(&worker) {
                        state.set_aside_until = probe_at;
                    }
                    let detail = format!("until {probe_at:?}");
                    self.emit(
                        DecisionEvent::new("worker_set_aside", detail)
                            .worker(&worker)
                            .warning(),
                    );
                }
                HealthDecision::Clear { worker } => {
                    if let Some(state) = self.workers.get_mut(&worker) {
                        state.paused_until = Millis(0);
                        state.set_aside_until = Millis(0);
                    }
                }
                HealthDecision::Restore { worker } => {
                    if let Some(state) = self.workers.get_mut(&worker) {
                        state.set_aside_until = Millis(0);
                    }
                    self.emit(DecisionEvent::new("worker_restored", String::new()).worker(&worker));
                }
                HealthDecision::ProbeFailed { worker, probe_at } => {
                    if let Some(state) = self.workers.get_mut(&worker) {
                        state.set_aside_until = probe_at;
                    }
                }
                // The replicated state counts the attempts of each job itself.
                HealthDecision::FailJob { .. } => {}
            }
        }
    }
}

/// Time without placements after this number of failures with no success in between.
fn failed_run_pause(failures: usize) -> Millis {
    let doublings = failures.saturating_sub(1).min(MAX_PAUSE_DOUBLINGS);
    Millis(FAILED_RUN_PAUSE.0 << doublings)
}
