use std::time::Duration;

use hdrhistogram::Histogram;

/// Longer durations are recorded as this one.
const MAX_RECORDED_NANOS: u64 = 60_000_000_000;

/// Histogram of durations, and their exact sum.
#[derive(Debug)]
pub(crate) struct Timing {
    nanos: Histogram<u64>,
    total: Duration,
}

impl Timing {
    pub(crate) fn new() -> Self {
        Self {
            nanos: Histogram::new_with_bounds(1, MAX_RECORDED_NANOS, 3)
                .expect("the bounds are valid"),
            total: Duration::ZERO,
        }
    }

    pub(crate) fn record(&mut self, duration: Duration) {
        self.nanos.saturating_record(duration.as_nanos() as u64);
        self.total += duration;
    }

    pub(crate) fn count(&self) -> u64 {
        self.nanos.len()
    }

    /// Rate at which one caller completes operations of these durations back to back.
    pub(crate) fn per_second(&self) -> u64 {
        (self.count() as f64 / self.total.as_secs_f64().max(1e-9)) as u64
    }

    /// Duration in microseconds at a quantile from 0 to 1.
    pub(crate) fn quantile_micros(&self, quantile: f64) -> f64 {
        self.nanos.value_at_quantile(quantile) as f64 / 1e3
    }

    pub(crate) fn mean_micros(&self) -> f64 {
        self.nanos.mean() / 1e3
    }

    pub(crate) fn max_micros(&self) -> f64 {
        self.nanos.max() as f64 / 1e3
    }
}
