use std::{
    fmt,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
};

use slog::Level;

use crate::{Event, EventSink, Mark};

/// Milliseconds for which one budget holds.
const PERIOD_MS: u64 = 1_000;

/// Source of time in milliseconds.
type Millis = Box<dyn Fn() -> u64 + Send + Sync>;

/// Sink that lets only so many lines a second pass; warnings and errors always pass.
///
/// At the end of a second in which lines were left out, one line tells how many.
pub struct LineBudget {
    inner: Arc<dyn EventSink>,
    lines_per_s: AtomicU64,
    now: Millis,
    period: AtomicU64,
    used: AtomicU64,
    left_out: AtomicU64,
    total: AtomicU64,
}

impl LineBudget {
    /// Passes at most `lines_per_s` lines on to `inner`; `now` reads a clock in milliseconds.
    pub fn new<F>(inner: Arc<dyn EventSink>, lines_per_s: u64, now: F) -> Self
    where
        F: Fn() -> u64 + Send + Sync + 'static,
    {
        Self {
            inner,
            lines_per_s: AtomicU64::new(lines_per_s),
            now: Box::new(now),
            period: AtomicU64::new(0),
            used: AtomicU64::new(0),
            left_out: AtomicU64::new(0),
            total: AtomicU64::new(0),
        }
    }

    /// Changes the bound from now on.
    pub fn set_lines_per_s(&self, lines: u64) {
        self.lines_per_s.store(lines, Ordering::Relaxed);
    }

    /// Lines that were left out so far.
    pub fn left_out(&self) -> u64 {
        self.total.load(Ordering::Relaxed)
    }

    fn begin_period(&self) {
        let period = (self.now)() / PERIOD_MS;
        if self.period.swap(period, Ordering::Relaxed) == period {
            return;
        }
        self.used.store(0, Ordering::Relaxed);
        let left_out = self.left_out.swap(0, Ordering::Relaxed);
        if left_out > 0 {
            let event = Event::warning("log_lines_left_out");
            self.inner.emit(&event.detail(format!("{left_out} lines")));
        }
    }
}

impl fmt::Debug for LineBudget {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("LineBudget")
            .field("lines_per_s", &self.lines_per_s)
            .finish_non_exhaustive()
    }
}

impl EventSink for LineBudget {
    fn emit(&self, event: &Event) -> Mark {
        self.begin_period();
        let is_rare = event.level.is_at_least(Level::Warning);
        let most = self.lines_per_s.load(Ordering::Relaxed);
        if is_rare || self.used.fetch_add(1, Ordering::Relaxed) < most {
            return self.inner.emit(event);
        }
        self.left_out.fetch_add(1, Ordering::Relaxed);
        self.total.fetch_add(1, Ordering::Relaxed);
        Mark::default()
    }
}
