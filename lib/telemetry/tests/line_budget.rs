//! Guards against a log rate limit that is exceeded, or that suppresses warnings.

use std::sync::{
    Arc,
    atomic::{AtomicU64, Ordering},
};

use tarragon_telemetry::{Event, EventId, EventSink, LineBudget};
use yare::parameterized;

#[derive(Debug, Default)]
struct CountingSink {
    lines: AtomicU64,
    summaries: AtomicU64,
}

impl EventSink for CountingSink {
    fn emit(&self, event: &Event) -> EventId {
        let counter = if event.name == "log_lines_left_out" {
            &self.summaries
        } else {
            &self.lines
        };
        counter.fetch_add(1, Ordering::Relaxed);
        EventId::default()
    }
}

/// Guards against a log that grows with the load, and against warnings lost to the rate limit.
#[parameterized(
    requests = { Event::info("job_accepted"), 100 },
    warnings = { Event::warning("worker_silent"), 5_000 },
)]
fn limit_applies_per_second_except_to_warnings(event: Event, passed: u64) {
    let inner = Arc::new(CountingSink::default());
    let now = Arc::new(AtomicU64::new(5_000));
    let clock = Arc::clone(&now);
    let budget = LineBudget::new(Arc::clone(&inner) as _, 100, move || {
        clock.load(Ordering::Relaxed)
    });
    for _ in 0..5_000 {
        budget.emit(&event);
    }
    assert_eq!(inner.lines.load(Ordering::Relaxed), passed);
    assert_eq!(budget.suppressed_lines(), 5_000 - passed);
    now.store(6_000, Ordering::Relaxed);
    budget.emit(&event);
    let summaries = u64::from(passed < 5_000);
    assert_eq!(inner.summaries.load(Ordering::Relaxed), summaries);
}

/// Guards against a new limit that takes effect only when the process restarts.
#[test]
fn limit_change_applies_at_once() {
    let inner = Arc::new(CountingSink::default());
    let budget = LineBudget::new(Arc::clone(&inner) as _, 10, || 5_000);
    for _ in 0..50 {
        budget.emit(&Event::info("a"));
    }
    // The lines already suppressed in this second count against the new limit too.
    budget.set_lines_per_s(60);
    for _ in 0..50 {
        budget.emit(&Event::info("a"));
    }
    assert_eq!(inner.lines.load(Ordering::Relaxed), 20);
}
