//! Runs that stand still or take too long: suspects their workers and restarts the tasks elsewhere.
//!
//! Estimates of callers are often wrong by a factor of three and more, so a run that makes progress is
//! left alone however long it takes, unless the other runs of its step show that it falls behind. Only a
//! run without any report of its progress is judged by its estimate.

use std::collections::BTreeSet;

use tarragon_names::{Millis, WorkerName};
use tarragon_workflow::TaskKey;

use crate::{
    DecisionEvent, Dispatcher,
    dispatcher_throttle::FULL_RATE,
    load_counters::StopCause,
    run_view::{RunView, StartState, StopState},
    worker_state::WorkerState,
};

/// Time without progress after which a run is restarted elsewhere: at least two further reports of the
/// same progress.
const MAX_STALL: Millis = Millis(1_500);

/// Like `MAX_STALL`, for a gang that has not begun to work because its members start at different
/// times.
const MAX_GANG_START_STALL: Millis = Millis(3_000);

/// Time without progress after which a run counts against its worker: at least one further report of
/// the same progress.
const LATE_STALL: Millis = Millis(700);

/// Multiple of its estimate after which a run is restarted elsewhere.
const OVERDUE_FACTOR: u64 = 3;

/// Like `OVERDUE_FACTOR`, for best-effort runs.
const BEST_EFFORT_OVERDUE_FACTOR: u64 = 10;

/// Time added to the multiple of the estimate, so that runs with short estimates have time to
/// start.
const OVERDUE_SLACK: Millis = Millis(2_000);

/// Run number up to which the limit for overdue runs doubles with each run of a task.
const MAX_DOUBLED_RUNS: u32 = 8;

/// Duration of a run, in percent of its estimate, after which it counts as late.
const LATE_PERCENT: u64 = 200;

/// Time added to `LATE_PERCENT` and `SUSPECT_PERCENT` of the estimate.
const LATE_SLACK: Millis = Millis(300);

/// Number of jobs that must be late on a worker at the same time before it is suspected.
const LATE_JOBS: usize = 2;

/// Duration of a run on a suspected worker, in percent of its estimate, after which it is restarted
/// elsewhere.
const SUSPECT_PERCENT: u64 = 250;

/// Time without placements on a suspected worker.
const SUSPECT_PAUSE: Millis = Millis(1_000);

/// Time for which this host must have been the only possible leader before it judges runs by their
/// duration. After a pause of the leader all runs look late; the next polls report those that have
/// ended.
const MIN_SOLE_LEADER_TIME: Millis = Millis(1_500);

impl Dispatcher {
    /// Suspects workers on which several jobs are late, and stops runs that exceed their estimate
    /// by far or fall behind the others of their step, so that they start elsewhere.
    pub(crate) fn move_overdue_runs(&mut self) {
        let now = self.now;
        if now.since(self.sole_leader_since) < MIN_SOLE_LEADER_TIME {
            return;
        }
        self.unaccepted_stops = 0;
        let mut suspects = Vec::new();
        let mut overdue = Vec::new();
        for (worker, state) in self.workers.iter_mut() {
            let is_suspect = late_jobs(state, now) >= LATE_JOBS && !had_recent_success(state, now);
            if is_suspect {
                if state.avoid_until <= now {
                    suspects.push(worker.clone());
                }
                state.avoid_until = state.avoid_until.max(now + SUSPECT_PAUSE);
            }
            for (task, view) in &state.runs {
                if view.has_unaccepted_stop(now, self.cfg.order_timeout) {
                    self.unaccepted_stops += 1;
                }
                let Some(ran) = running_time(view, now) else {
                    continue;
                };
                if is_overdue(view, ran, is_suspect) {
                    overdue.push((*task, worker.clone()));
                }
            }
        }
        for worker in suspects {
            let event = DecisionEvent::new(
                "worker_suspected",
                "several jobs are late on this worker".to_owned(),
            );
            self.emit(event.worker(&worker).warning());
        }
        for (task, worker) in overdue {
            self.move_run(task, &worker, StopCause::Overdue);
        }
        self.move_stragglers();
    }

    /// Places nothing on a worker for a while, because its machine is about to go down for upkeep.
    pub(crate) fn avoid_worker(&mut self, worker: &WorkerName) {
        let until = self.now + SUSPECT_PAUSE;
        if let Some(state) = self.workers.get_mut(worker) {
            state.avoid_until = state.avoid_until.max(until);
        }
    }

    /// Stops a run so that its task starts elsewhere.
    pub(crate) fn move_run(&mut self, task: TaskKey, worker: &WorkerName, cause: StopCause) {
        let now = self.now;
        if let Some(plan) = self.plans.get_mut(&task.step) {
            plan.failed_on.insert(worker.clone());
        }
        let state = self.workers.get_mut(worker);
        let Some(view) = state.and_then(|state| state.runs.get_mut(&task)) else {
            return;
        };
        view.request_stop(cause, &mut self.load_counters, now);
        let run = view.run;
        let detail = format!(
            "{cause}, {} ms for an estimate of {} ms, {}% done for {:?}, {:?} in use of {}",
            now.since(view.placed_at).0,
            view.spec.estimate.0,
            view.progress.percent,
            view.progress.stalled_for(),
            view.usage_or_tail_ms,
            view.spec.need
        );
        self.emit(
            DecisionEvent::new("run_moved", detail)
                .task(task, run)
                .worker(worker)
                .warning(),
        );
        self.stop_gang(task.step, run);
    }
}

/// Time since the placement of a run, if the run has an estimate and is running normally.
pub(crate) fn running_time(view: &RunView, now: Millis) -> Option<Millis> {
    // A throttled run takes longer through no fault of its worker.
    let is_running = !view.is_ended
        && view.rate.is_certainly(FULL_RATE)
        && view.stop == StopState::NotRequested
        && matches!(view.start, StartState::Present { .. });
    (is_running && view.spec.estimate.0 > 0).then(|| now.since(view.placed_at))
}

/// Returns whether a run is to be restarted elsewhere.
fn is_overdue(view: &RunView, ran: Millis, is_suspect: bool) -> bool {
    let Some(stalled_for) = view.progress.stalled_for() else {
        return ran > Millis(overdue_after_ms(view, is_suspect));
    };
    let max_stall = if view.spec.is_best_effort {
        return false;
    } else if view.spec.is_gang && view.progress.percent == 0 {
        MAX_GANG_START_STALL
    } else if is_suspect {
        LATE_STALL
    } else {
        MAX_STALL
    };
    // The limit doubles with each run, since the reported progress may be too coarse for the task.
    let max_stall = Millis(max_stall.0 << (view.run.clamp(1, MAX_DOUBLED_RUNS) - 1));
    // A run that completed its work waits for its end to be listed.
    stalled_for >= max_stall && view.progress.percent < FULL_RATE
}

/// Returns the time after which a run without any report of its progress is restarted elsewhere, in
/// milliseconds.
///
/// It doubles with each run of the task: an estimate may be far too low, and a task that is moved
/// again and again would never end.
fn overdue_after_ms(view: &RunView, is_suspect: bool) -> u64 {
    let runs = view.run.clamp(1, MAX_DOUBLED_RUNS);
    if is_suspect && runs == 1 {
        return view.spec.estimate.0 * SUSPECT_PERCENT / 100 + LATE_SLACK.0;
    }
    let factor = if view.spec.is_best_effort {
        BEST_EFFORT_OVERDUE_FACTOR
    } else {
        OVERDUE_FACTOR
    };
    (view.spec.estimate.0 * factor + OVERDUE_SLACK.0) << (runs - 1)
}

/// Number of jobs with a late run on a worker.
fn late_jobs(state: &WorkerState, now: Millis) -> usize {
    let runs = state
        .runs
        .iter()
        .filter(|(_, view)| !view.spec.is_best_effort);
    let late = runs.filter(|(_, view)| {
        let limit = Millis(view.spec.estimate.0 * LATE_PERCENT / 100 + LATE_SLACK.0);
        let is_late = running_time(view, now).is_some_and(|ran| ran > limit);
        let stalled_for = view.progress.stalled_for();
        is_late && stalled_for.is_none_or(|stalled| stalled >= LATE_STALL)
    });
    late.map(|(task, _)| task.step.job)
        .collect::<BTreeSet<_>>()
        .len()
}

/// Returns whether a run succeeded on a worker within the last `SUSPECT_PAUSE`.
fn had_recent_success(state: &WorkerState, now: Millis) -> bool {
    now.since(state.last_success_at) < SUSPECT_PAUSE
}
