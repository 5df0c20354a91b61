//! Throttling of best-effort runs on workers that also run latency-sensitive tasks.

use tarragon_names::{Millis, WorkerName};
use tarragon_workflow::{TaskKey, WorkerIncarnation};

use crate::{
    DecisionEvent, Dispatcher, OrderOutcome, Output, ThrottleOrder,
    run_view::{StartState, StopState},
    worker_state::WorkerState,
};

/// Rate of a run that is not throttled, in percent.
pub(crate) const FULL_RATE: u64 = 100;

/// Tail latency, in percent of its target, up to which a worker has capacity for best-effort runs.
const BELOW_TARGET_PERCENT: u64 = 80;

/// Time for which all tail latencies must stay low before the best-effort runs get a higher rate.
const RAISE_INTERVAL: Millis = Millis(1_500);

/// Increase of the best-effort rate in one step, in percentage points.
const RATE_STEP_PERCENT: u64 = 25;

/// Tail latency of the latency-sensitive runs on a worker, compared with their targets.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum LatencyState {
    NoTasks,
    BelowTarget,
    NearTarget,
    AboveTarget,
}

impl Dispatcher {
    /// Pauses the best-effort runs of a worker as soon as a latency-sensitive run there misses its
    /// target, and raises their rate in steps once all tail latencies are well below their targets.
    pub(crate) fn throttle_best_effort(&mut self, worker: &WorkerName) {
        let (now, cfg) = (self.now, self.cfg);
        if !self.is_sole_leader {
            return;
        }
        let Some(state) = self.workers.get_mut(worker) else {
            return;
        };
        if !state.runs.values().any(|view| view.spec.is_best_effort) {
            return;
        }
        let before = state.best_effort_rate;
        update_best_effort_rate(state, now);
        let rate = state.best_effort_rate;
        let (incarnation, address) = (
            state.record.incarnation.clone(),
            state.record.address.clone(),
        );
        let fence = state.fence;
        let mut due = Vec::new();
        for (task, view) in &mut state.runs {
            let can_be_throttled = view.spec.is_best_effort
                && !view.is_ended
                && view.stop == StopState::NotRequested
                && matches!(view.start, StartState::Present { .. });
            if can_be_throttled && view.rate.needs_order(rate, now) {
                view.rate.order_sent(rate, now, cfg.order_timeout);
                due.push((*task, view.run));
            }
        }
        if rate != before {
            let detail = format!("rate {rate}% instead of {before}%, {} tasks", due.len());
            self.emit(DecisionEvent::new("fillers_paced", detail).worker(worker));
        }
        for (task, run) in due {
            self.outputs.push(Output::Throttle(ThrottleOrder {
                incarnation: incarnation.clone(),
                address: address.clone(),
                task,
                run,
                percent: rate,
                fence,
                timeout: cfg.order_timeout,
            }));
        }
    }

    /// Handles the result of a throttle order. Unless the order was accepted, the rate of the run
    /// is unknown, and the order is sent again after the next poll of the worker.
    pub(crate) fn throttle_order_finished(
        &mut self,
        incarnation: &WorkerIncarnation,
        task: TaskKey,
        run: u32,
        outcome: OrderOutcome,
    ) {
        let now = self.now;
        let state = self.workers.get_incarnation_mut(incarnation);
        let view = state.and_then(|state| state.runs.get_mut(&task));
        if let Some(view) = view.filter(|view| view.run == run) {
            view.rate.order_finished(outcome, now);
        }
        if outcome == OrderOutcome::Accepted {
            return;
        }
        self.emit(
            DecisionEvent::new("pace_not_accepted", outcome.to_string())
                .task(task, run)
                .worker(&incarnation.worker)
                .warning(),
        );
    }
}

fn update_best_effort_rate(state: &mut WorkerState, now: Millis) {
    match latency_state(state) {
        LatencyState::NoTasks => {
            state.best_effort_rate = FULL_RATE;
            state.below_target_since = None;
        }
        LatencyState::AboveTarget => {
            state.best_effort_rate = 0;
            state.below_target_since = None;
        }
        LatencyState::NearTarget => state.below_target_since = None,
        LatencyState::BelowTarget => {
            let since = *state.below_target_since.get_or_insert(now);
            if now.since(since) >= RAISE_INTERVAL {
                state.best_effort_rate =
                    (state.best_effort_rate + RATE_STEP_PERCENT).min(FULL_RATE);
                state.below_target_since = Some(now);
            }
        }
    }
}

fn latency_state(state: &WorkerState) -> LatencyState {
    let mut found = LatencyState::NoTasks;
    for view in state.runs.values().filter(|view| !view.is_ended) {
        let Some(target) = view.spec.target else {
            continue;
        };
        let now = match view.usage_or_tail_ms {
            Some(tail) if tail > target.0 => LatencyState::AboveTarget,
            Some(tail) if tail * 100 > target.0 * BELOW_TARGET_PERCENT => LatencyState::NearTarget,
            _ => LatencyState::BelowTarget,
        };
        if now == LatencyState::AboveTarget {
            return now;
        }
        if found != LatencyState::NearTarget {
            found = now;
        }
    }
    found
}
