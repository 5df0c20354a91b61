use std::sync::Arc;

use tarragon_agreement::{LagTracker, Replica};
use tarragon_names::{MemberId, Millis};
use tarragon_telemetry::{Event, EventSink, Metrics};

/// Time between two observations of the members. Short beside the time after which a member lags.
const OBSERVE_INTERVAL: Millis = Millis(250);

/// Reports the members that answer this leader but acknowledge no entries.
#[derive(Debug)]
pub(crate) struct LagMonitor {
    tracker: LagTracker,
    observe_at: Millis,
    events: Arc<dyn EventSink>,
    metrics: Arc<Metrics>,
}

impl LagMonitor {
    pub(crate) fn new(events: Arc<dyn EventSink>, metrics: Arc<Metrics>) -> Self {
        Self {
            tracker: LagTracker::default(),
            observe_at: Millis(0),
            events,
            metrics,
        }
    }

    /// Looks at the members once per interval, and logs and counts those that lag.
    pub(crate) fn observe(&mut self, replica: &Replica, now: Millis) {
        if now < self.observe_at {
            return;
        }
        self.observe_at = now + OBSERVE_INTERVAL;
        let status = replica.replication_status(now);
        for change in self.tracker.observe(status.as_ref()) {
            let event = if change.is_lagging {
                Event::warning("member_lags")
            } else {
                Event::info("member_caught_up")
            };
            let detail = format!(
                "{} {} holds entries up to {} of {}",
                change.role, change.id, change.match_index, change.last_index
            );
            let event = event.peer(change.host).index(change.match_index);
            self.events.emit(&event.detail(detail));
        }
        let lagging = self.tracker.lagging().count();
        self.metrics.lagging_members.set(lagging as i64);
    }

    /// Returns the members that were stalled at the last observation.
    pub(crate) fn stalled(&self) -> Vec<MemberId> {
        self.tracker.stalled().collect()
    }
}
