//! Runs that take too long: which workers to suspect, and when to start a task elsewhere.

use std::collections::BTreeSet;

use tarragon_names::{Millis, WorkerName};
use tarragon_workflow::TaskKey;

use crate::{
    DecisionEvent, Dispatcher,
    dispatcher_pace::FULL_PACE,
    run_view::{RunView, StartState, StopState},
    seat::Seat,
};

/// A run that takes longer than this many times its estimate is started elsewhere.
const OVERDUE_FACTOR: u64 = 3;

/// The same for a run that gets only what others leave unused.
const OVERDUE_FILLING_FACTOR: u64 = 10;

/// Time beyond that, so that short estimates leave room for the start.
const OVERDUE_SLACK: Millis = Millis(2_000);

/// Runs after which the factor does not grow any more.
const GROWING_RUNS: u32 = 8;

/// Share of its estimate, in percent, after which a run counts against its worker.
const LATE_PERCENT: u64 = 200;

/// Time beyond that.
const LATE_SLACK: Millis = Millis(300);

/// Jobs that must be late on a worker at the same time before it is suspected.
const LATE_JOBS: usize = 2;

/// Share of its estimate, in percent, after which a run on a suspected worker is started elsewhere.
const SUSPECT_PERCENT: u64 = 250;

/// Time for which nothing is placed on a suspected worker.
const SUSPECT_PAUSE: Millis = Millis(1_000);

/// Time for which the leader must have led without doubt before it judges runs by their times.
/// After a pause of the leader all of them look late, and their ends are told with the next looks.
const STEADY: Millis = Millis(1_500);

impl Dispatcher {
    /// Suspects workers on which several jobs are late, and stops runs that take far longer than
    /// estimated, so that they start elsewhere.
    pub(crate) fn move_overdue(&mut self) {
        let now = self.now;
        if now.since(self.steady_since) < STEADY {
            return;
        }
        let mut suspects = Vec::new();
        let mut overdue = Vec::new();
        for (worker, seat) in self.seats.iter_mut() {
            let is_suspect = late_jobs(seat, now) >= LATE_JOBS && !has_ended_lately(seat, now);
            if is_suspect {
                if seat.avoid_until <= now {
                    suspects.push(worker.clone());
                }
                seat.avoid_until = seat.avoid_until.max(now + SUSPECT_PAUSE);
            }
            for (task, view) in &seat.runs {
                let Some(ran) = time_run(view, now) else {
                    continue;
                };
                let limit = Millis(overdue_limit(view, is_suspect));
                if ran > limit {
                    overdue.push((*task, worker.clone()));
                }
            }
        }
        for worker in suspects {
            let note =
                DecisionEvent::new("worker_suspected", "several jobs are late there".to_owned());
            self.note(note.worker(&worker).warning());
        }
        for (task, worker) in overdue {
            self.move_away(task, &worker, "overdue");
        }
    }

    /// Places nothing on a worker for a while, because its machine goes down soon.
    pub(crate) fn spare(&mut self, worker: &WorkerName) {
        let until = self.now + SUSPECT_PAUSE;
        if let Some(seat) = self.seats.get_mut(worker) {
            seat.avoid_until = seat.avoid_until.max(until);
        }
    }

    /// Stops a run so that it starts elsewhere.
    fn move_away(&mut self, task: TaskKey, worker: &WorkerName, cause: &str) {
        let now = self.now;
        if let Some(plan) = self.plans.get_mut(&task.step) {
            plan.failed_on.insert(worker.clone());
        }
        let seat = self.seats.get_mut(worker);
        let Some(view) = seat.and_then(|seat| seat.runs.get_mut(&task)) else {
            return;
        };
        view.want_stop(now);
        let run = view.run;
        let detail = format!(
            "{cause}, {} ms for an estimate of {} ms, {:?} in use of {}",
            now.since(view.placed_at).0,
            view.terms.estimate.0,
            view.in_use,
            view.terms.need
        );
        self.note(
            DecisionEvent::new("run_moved", detail)
                .task(task, run)
                .worker(worker)
                .warning(),
        );
        self.break_gang(task.step, run);
    }
}

/// Time that a run has taken, if it has an estimate and goes on as it should.
fn time_run(view: &RunView, now: Millis) -> Option<Millis> {
    // A run that is held back takes longer without a fault of its worker.
    let is_running = !view.is_ended
        && view.pace == Some(FULL_PACE)
        && view.stop == StopState::NotWanted
        && matches!(view.start, StartState::Present { .. });
    (is_running && view.terms.estimate.0 > 0).then(|| now.since(view.placed_at))
}

/// Time after which a run is started elsewhere, in milliseconds.
///
/// It doubles with each run: an estimate may be far too low, and a task that is moved again and
/// again never ends.
fn overdue_limit(view: &RunView, is_suspect: bool) -> u64 {
    let runs = view.run.clamp(1, GROWING_RUNS);
    if is_suspect && runs == 1 {
        return view.terms.estimate.0 * SUSPECT_PERCENT / 100 + LATE_SLACK.0;
    }
    let factor = if view.terms.fills {
        OVERDUE_FILLING_FACTOR
    } else {
        OVERDUE_FACTOR
    };
    (view.terms.estimate.0 * factor + OVERDUE_SLACK.0) << (runs - 1)
}

/// Number of jobs with a late run on a worker.
fn late_jobs(seat: &Seat, now: Millis) -> usize {
    let runs = seat.runs.iter().filter(|(_, view)| !view.terms.fills);
    let late = runs.filter(|(_, view)| {
        let limit = Millis(view.terms.estimate.0 * LATE_PERCENT / 100 + LATE_SLACK.0);
        time_run(view, now).is_some_and(|ran| ran > limit)
    });
    late.map(|(task, _)| task.step.job)
        .collect::<BTreeSet<_>>()
        .len()
}

/// Tells whether a run was done on a worker in the time for which it would be suspected.
fn has_ended_lately(seat: &Seat, now: Millis) -> bool {
    now.since(seat.done_at) < SUSPECT_PAUSE
}
