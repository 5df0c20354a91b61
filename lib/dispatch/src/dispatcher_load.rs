//! Reads and reports the counters of load.

use tarragon_names::Millis;

use crate::{DecisionEvent, Dispatcher};

/// Time between two reports.
const REPORT_INTERVAL: Millis = Millis(5_000);

impl Dispatcher {
    /// Counts the capacity that is idle because it is reserved or claimed, and reports the counters
    /// when that is due.
    pub(crate) fn count_load(&mut self) {
        let (mut reserved, mut claimed) = (0, 0);
        for (worker, state) in self.workers.iter() {
            let (idle_reserved, idle_other) = state.idle_cpu();
            reserved += idle_reserved;
            if self.gang_claims.1.contains(worker) {
                claimed += idle_other;
            }
        }
        self.load_counters.record_idle(reserved, claimed, self.now);
        if self.now >= self.next_load_report_at {
            self.next_load_report_at = self.now + REPORT_INTERVAL;
            let detail = self.load_counters.to_string();
            self.emit(DecisionEvent::new("load_counters", detail));
        }
    }
}
