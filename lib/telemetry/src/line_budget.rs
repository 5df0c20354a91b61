use std::{
    fmt,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
};

use slog::Level;

use crate::{Event, EventId, EventSink};

/// Length of the period that a budget covers.
const PERIOD_MS: u64 = 1_000;

/// Clock in milliseconds.
type ClockMs = Box<dyn Fn() -> u64 + Send + Sync>;

/// Sink that limits the number of log lines per second. Warnings and errors always pass and do not
/// count against the limit.
///
/// The first event after a second with suppressed lines also logs how many were suppressed.
pub struct LineBudget {
    inner: Arc<dyn EventSink>,
    lines_per_s: AtomicU64,
    now_ms: ClockMs,
    /// Number of the current period: the time of the clock divided by the length of a period.
    current_period: AtomicU64,
    /// Lines below warning level in the current period, suppressed ones included.
    used_in_period: AtomicU64,
    suppressed_in_period: AtomicU64,
    suppressed_total: AtomicU64,
}

impl LineBudget {
    /// Passes at most `lines_per_s` lines per second on to `inner`; `now_ms` reads a clock in
    /// milliseconds.
    pub fn new<F>(inner: Arc<dyn EventSink>, lines_per_s: u64, now_ms: F) -> Self
    where
        F: Fn() -> u64 + Send + Sync + 'static,
    {
        Self {
            inner,
            lines_per_s: AtomicU64::new(lines_per_s),
            now_ms: Box::new(now_ms),
            current_period: AtomicU64::new(0),
            used_in_period: AtomicU64::new(0),
            suppressed_in_period: AtomicU64::new(0),
            suppressed_total: AtomicU64::new(0),
        }
    }

    /// Changes the limit, for the current second too.
    pub fn set_lines_per_s(&self, lines_per_s: u64) {
        self.lines_per_s.store(lines_per_s, Ordering::Relaxed);
    }

    /// Number of lines suppressed since the start of the process.
    pub fn suppressed_lines(&self) -> u64 {
        self.suppressed_total.load(Ordering::Relaxed)
    }

    /// Starts a new period if the clock has passed the end of the current one.
    fn start_period_if_due(&self) {
        let period = (self.now_ms)() / PERIOD_MS;
        if self.current_period.swap(period, Ordering::Relaxed) == period {
            return;
        }
        self.used_in_period.store(0, Ordering::Relaxed);
        let suppressed = self.suppressed_in_period.swap(0, Ordering::Relaxed);
        if suppressed > 0 {
            let event = Event::warning("log_lines_left_out");
            self.inner
                .emit(&event.detail(format!("{suppressed} lines")));
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
    fn emit(&self, event: &Event) -> EventId {
        self.start_period_if_due();
        let is_exempt = event.level.is_at_least(Level::Warning);
        let max_lines = self.lines_per_s.load(Ordering::Relaxed);
        if is_exempt || self.used_in_period.fetch_add(1, Ordering::Relaxed) < max_lines {
            return self.inner.emit(event);
        }
        self.suppressed_in_period.fetch_add(1, Ordering::Relaxed);
        self.suppressed_total.fetch_add(1, Ordering::Relaxed);
        EventId::default()
    }
}
