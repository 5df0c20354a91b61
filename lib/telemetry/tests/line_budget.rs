//! The bound on the lines of a second.

use std::sync::{
    Arc,
    atomic::{AtomicU64, Ordering},
};

use tarragon_telemetry::{Event, EventSink, LineBudget, Mark};
use yare::parameterized;

#[derive(Debug, Default)]
struct Counting {
    lines: AtomicU64,
    summaries: AtomicU64,
}

impl EventSink for Counting {
    fn emit(&self, event: &Event) -> Mark {
        let counter = if event.name == "log_lines_left_out" {
            &self.summaries
        } else {
            &self.lines
        };
        counter.fetch_add(1, Ordering::Relaxed);
        Mark::default()
    }
}

/// Guards against a log whose volume grows with the load, and against warnings that are lost in it.
#[parameterized(
    requests = { Event::info("job_accepted"), 100 },
    warnings = { Event::warning("worker_silent"), 5_000 },
)]
fn lines_of_a_second(event: Event, passed: u64) {
    let inner = Arc::new(Counting::default());
    let now = Arc::new(AtomicU64::new(5_000));
    let clock = Arc::clone(&now);
    let budget = LineBudget::new(Arc::clone(&inner) as _, 100, move || {
        clock.load(Ordering::Relaxed)
    });
    for _ in 0..5_000 {
        budget.emit(&event);
    }
    assert_eq!(inner.lines.load(Ordering::Relaxed), passed);
    assert_eq!(budget.left_out(), 5_000 - passed);
    now.store(6_000, Ordering::Relaxed);
    budget.emit(&event);
    let summaries = u64::from(passed < 5_000);
    assert_eq!(inner.summaries.load(Ordering::Relaxed), summaries);
}

/// Guards against a bound that holds until the next start of the process.
#[test]
fn bound_changes_while_it_runs() {
    let inner = Arc::new(Counting::default());
    let budget = LineBudget::new(Arc::clone(&inner) as _, 10, || 5_000);
    for _ in 0..50 {
        budget.emit(&Event::info("a"));
    }
    // The lines of this second that were left out count as used.
    budget.set_lines_per_s(60);
    for _ in 0..50 {
        budget.emit(&Event::info("a"));
    }
    assert_eq!(inner.lines.load(Ordering::Relaxed), 20);
}
