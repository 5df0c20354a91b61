//! Capacity that less urgent steps leave free for more urgent ones.
//!
//! Load pattern: short urgent steps arrive at random while the pool is nearly full. Capacity that is
//! freed for them by preemption comes too late for their objective, so some must be free when they
//! arrive. Large gangs wait until their whole need is free; smaller, less urgent steps that take each
//! freed piece would keep them waiting for ever.

use std::collections::BTreeMap;

use tarragon_names::Millis;

/// Time over which the arrivals of urgent work are averaged.
const AVERAGING_TIME: Millis = Millis(2_000);

/// Time for which the urgent arrivals find free capacity without waiting for an end.
const URGENT_TIME: Millis = Millis(300);

/// Largest part of the pool that is left free for more urgent steps, in percent.
const MAX_HEADROOM_PERCENT: u64 = 15;

/// Demand of steps by the priority of their queues, in thousandths of a core.
#[derive(Clone, Debug, Default)]
pub(crate) struct Headroom {
    /// Processor time that steps of the most urgent priority ask for in [`AVERAGING_TIME`], on
    /// average.
    urgent_arrivals: f64,
    updated_at: Millis,
    most_urgent: Option<u32>,
    /// Processor time that waiting steps need, by priority.
    waiting: BTreeMap<u32, u64>,
}

impl Headroom {
    /// Records the arrival of a step that needs `cpu_milli` in all.
    pub(crate) fn record_arrival(&mut self, priority: u32, cpu_milli: u64, now: Millis) {
        if self
            .most_urgent
            .is_some_and(|most_urgent| priority > most_urgent)
        {
            return;
        }
        if self.most_urgent != Some(priority) {
            self.most_urgent = Some(priority);
            self.urgent_arrivals = 0.0;
        }
        self.decay(now);
        self.urgent_arrivals += cpu_milli as f64;
    }

    /// Replaces the needs of the waiting steps.
    pub(crate) fn set_waiting(&mut self, waiting: BTreeMap<u32, u64>) {
        self.waiting = waiting;
    }

    /// Processor time that a step of this priority leaves free in a pool of `capacity`: for urgent
    /// arrivals, and for steps that wait, unless it has waited long itself.
    pub(crate) fn below(
        &self,
        priority: u32,
        has_waited_long: bool,
        capacity: u64,
        now: Millis,
    ) -> u64 {
        if self
            .most_urgent
            .is_none_or(|most_urgent| priority <= most_urgent)
        {
            return 0;
        }
        let arrivals = self.decayed(now) * URGENT_TIME.0 as f64 / AVERAGING_TIME.0 as f64;
        let waiting = self.waiting.range(..priority).map(|(_, cpu)| *cpu);
        let waiting = if has_waited_long {
            0
        } else {
            waiting.fold(0, u64::saturating_add)
        };
        let most = capacity / 100 * MAX_HEADROOM_PERCENT;
        (arrivals as u64).saturating_add(waiting).min(most)
    }

    fn decay(&mut self, now: Millis) {
        self.urgent_arrivals = self.decayed(now);
        self.updated_at = now;
    }

    fn decayed(&self, now: Millis) -> f64 {
        let passed = now.since(self.updated_at).0 as f64 / AVERAGING_TIME.0 as f64;
        self.urgent_arrivals * (-passed).exp()
    }
}
