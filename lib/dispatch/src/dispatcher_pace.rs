//! Pace of the tasks that take what others leave unused, beside tasks that serve users.

use tarragon_names::{Millis, WorkerName};
use tarragon_workflow::{TaskKey, WorkerIncarnation};

use crate::{
    Dispatcher, Note, OrderOutcome, Output, PaceOrder,
    run_view::{StartState, StopState},
    seat::Seat,
};

/// Pace of a task that is not held back, in percent.
pub(crate) const FULL_PACE: u64 = 100;

/// Tail of a serving task, in percent of its target, up to which there is room for other tasks.
const CALM_PERCENT: u64 = 80;

/// Time of calm before the filling tasks get more.
const CALM_TIME: Millis = Millis(1_500);

/// What they get more each time, in percent.
const PACE_STEP: u64 = 25;

/// How the serving tasks of a worker fare.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Serving {
    None,
    Calm,
    Tight,
    Harmed,
}

impl Dispatcher {
    /// Holds the filling tasks of a worker back as soon as a serving task there misses its target,
    /// and lets them work again step by step once all are well below it.
    pub(crate) fn pace_fillers(&mut self, worker: &WorkerName) {
        let (now, cfg) = (self.now, self.cfg);
        let Some(term) = self.term else { return };
        let Some(seat) = self.seats.get_mut(worker) else {
            return;
        };
        if !seat.runs.values().any(|view| view.terms.fills) {
            return;
        }
        let before = seat.filler_pace;
        adapt(seat, now);
        let pace = seat.filler_pace;
        let (life, address) = (seat.record.incarnation.clone(), seat.record.address.clone());
        let mut due = Vec::new();
        for (task, view) in &mut seat.runs {
            let can_be_paced = view.terms.fills
                && !view.is_ended
                && view.stop == StopState::NotWanted
                && matches!(view.start, StartState::Present { .. });
            if can_be_paced && view.pace != Some(pace) {
                view.pace = Some(pace);
                due.push((*task, view.run));
            }
        }
        if pace != before {
            let detail = format!("{pace} percent instead of {before}, {} tasks", due.len());
            self.note(Note::new("fillers_paced", detail).worker(worker));
        }
        for (task, run) in due {
            self.out.push(Output::Pace(PaceOrder {
                life: life.clone(),
                address: address.clone(),
                task,
                run,
                percent: pace,
                fence: term,
                limit: cfg.order_limit,
            }));
        }
    }

    /// The pace of a run whose order was not carried out is not known; the next look sends it again.
    pub(crate) fn pace_ended(
        &mut self,
        life: &WorkerIncarnation,
        task: TaskKey,
        run: u32,
        outcome: OrderOutcome,
    ) {
        if outcome == OrderOutcome::Accepted {
            return;
        }
        let seat = self.seats.of_life(life);
        let view = seat.and_then(|seat| seat.runs.get_mut(&task));
        if let Some(view) = view.filter(|view| view.run == run) {
            view.pace = None;
        }
        self.note(
            Note::new("pace_not_accepted", outcome.to_string())
                .task(task, run)
                .worker(&life.worker)
                .warning(),
        );
    }
}

fn adapt(seat: &mut Seat, now: Millis) {
    match serving(seat) {
        Serving::None => {
            seat.filler_pace = FULL_PACE;
            seat.calm_since = None;
        }
        Serving::Harmed => {
            seat.filler_pace = 0;
            seat.calm_since = None;
        }
        Serving::Tight => seat.calm_since = None,
        Serving::Calm => {
            let since = *seat.calm_since.get_or_insert(now);
            if now.since(since) >= CALM_TIME {
                seat.filler_pace = (seat.filler_pace + PACE_STEP).min(FULL_PACE);
                seat.calm_since = Some(now);
            }
        }
    }
}

fn serving(seat: &Seat) -> Serving {
    let mut found = Serving::None;
    for view in seat.runs.values().filter(|view| !view.is_ended) {
        let Some(target) = view.terms.target else {
            continue;
        };
        let now = match view.in_use {
            Some(tail) if tail > target.0 => Serving::Harmed,
            Some(tail) if tail * 100 > target.0 * CALM_PERCENT => Serving::Tight,
            _ => Serving::Calm,
        };
        if now == Serving::Harmed {
            return now;
        }
        if found != Serving::Tight {
            found = now;
        }
    }
    found
}
