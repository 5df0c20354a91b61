use std::time::Duration;

use hdrhistogram::Histogram;

/// Longer times are recorded as this one.
const LONGEST_NANOS: u64 = 60_000_000_000;

/// Distribution of short times.
#[derive(Debug)]
pub(crate) struct Timing {
    nanos: Histogram<u64>,
    total: Duration,
}

impl Timing {
    pub(crate) fn new() -> Self {
        Self {
            nanos: Histogram::new_with_bounds(1, LONGEST_NANOS, 3).expect("the bounds are valid"),
            total: Duration::ZERO,
        }
    }

    pub(crate) fn add(&mut self, time: Duration) {
        self.nanos.saturating_record(time.as_nanos() as u64);
        self.total += time;
    }

    pub(crate) fn count(&self) -> u64 {
        self.nanos.len()
    }

    pub(crate) fn per_second(&self) -> u64 {
        (self.count() as f64 / self.total.as_secs_f64().max(1e-9)) as u64
    }

    /// A quantile in microseconds.
    pub(crate) fn micros(&self, quantile: f64) -> f64 {
        self.nanos.value_at_quantile(quantile) as f64 / 1e3
    }

    pub(crate) fn mean_micros(&self) -> f64 {
        self.nanos.mean() / 1e3
    }

    pub(crate) fn max_micros(&self) -> f64 {
        self.nanos.max() as f64 / 1e3
    }
}
