use std::collections::BTreeMap;

use tarragon_names::Millis;

/// Recorded ends of runs that are not acknowledged to their worker before a time, by number.
#[derive(Clone, Debug, Default)]
pub(crate) struct HeldEnds(BTreeMap<u64, Millis>);

impl HeldEnds {
    pub(crate) fn hold(&mut self, number: u64, until: Millis) {
        self.0.insert(number, until);
    }

    /// Number up to which ends are acknowledged at `now`, if those up to `recorded` are recorded.
    pub(crate) fn acknowledged(&self, recorded: u64, now: Millis) -> u64 {
        let held = self.0.iter().find(|(_, until)| now < **until);
        held.map_or(recorded, |(number, _)| {
            recorded.min(number.saturating_sub(1))
        })
    }

    /// Returns whether any end is held at `now`, and forgets those that no longer are.
    pub(crate) fn update(&mut self, now: Millis) -> bool {
        self.0.retain(|_, until| now < *until);
        !self.0.is_empty()
    }
}
