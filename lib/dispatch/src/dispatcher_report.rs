//! Report on the workers that steps wait for, for the event log.

use std::{collections::BTreeMap, fmt::Write};

use tarragon_names::{Millis, PoolName};
use tarragon_workflow::StepKey;

use crate::{DecisionEvent, Dispatcher, wait::Wait};

/// Shortest time between two reports.
const REPORT_INTERVAL: Millis = Millis(1_000);

impl Dispatcher {
    /// Reports, for each pool that steps wait for, how many of its workers have capacity, how many
    /// are full, and why the others are not usable.
    pub(crate) fn report_waiting_steps(&mut self) {
        if self.now < self.next_report_at {
            return;
        }
        let mut waiting = BTreeMap::<PoolName, BTreeMap<Wait, usize>>::new();
        for plan in self.plans.values().filter(|plan| !plan.waiting.is_empty()) {
            let steps = waiting.entry(plan.queue.pool.clone()).or_default();
            *steps.entry(plan.wait).or_default() += 1;
        }
        if waiting.is_empty() {
            return;
        }
        self.next_report_at = self.now + REPORT_INTERVAL;
        for (pool, steps) in waiting {
            let steps = steps
                .iter()
                .map(|(wait, count)| format!("{count} for {wait}"));
            let steps = steps.collect::<Vec<_>>().join(", ");
            let detail = format!("steps of {pool}: {steps}; {}", self.usability_of(&pool));
            self.emit(DecisionEvent::new("steps_waiting", detail));
        }
    }

    /// Records what a step waits for.
    pub(crate) fn set_wait(&mut self, key: &StepKey, wait: Wait) {
        if let Some(plan) = self.plans.get_mut(key) {
            plan.wait = wait;
        }
    }

    /// Counts of the workers of a pool by their usability.
    fn usability_of(&self, pool: &PoolName) -> String {
        let (mut available, mut cpu_milli, mut full) = (0, 0, 0);
        let mut unusable = BTreeMap::<_, usize>::new();
        let states = self.workers.iter().map(|(_, state)| state);
        for state in states.filter(|state| state.record.pool == *pool) {
            if let Some(cause) = state.unusable(self.now) {
                *unusable.entry(cause).or_default() += 1;
                continue;
            }
            let left = state.available().cpu_milli;
            cpu_milli += left;
            *if left > 0 { &mut available } else { &mut full } += 1;
        }
        let mut text = format!("{available} workers with {cpu_milli}m cpu available, {full} full");
        for (cause, count) in unusable {
            let _ = write!(text, ", {count} {cause}");
        }
        text
    }
}
