use tarragon_names::{Millis, Resources};

use crate::{Usage, histogram::Histogram};

/// Reports below which a declared size is still believed.
pub(crate) const ENOUGH: u32 = 20;
const QUANTILE: f32 = 0.95;
/// Added to the estimate, because a peak above the reservation costs a throttled or stopped task.
const MARGIN_PERCENT: u64 = 10;

/// Usage of the tasks of one catalogue entry.
#[derive(Debug)]
pub(crate) struct EntryUsage {
    cpu_milli: Histogram,
    memory_mb: Histogram,
    run_ms: Histogram,
    reports: u32,
    runs: u32,
}

impl EntryUsage {
    pub(crate) fn new() -> Self {
        Self {
            cpu_milli: Histogram::new(),
            memory_mb: Histogram::new(),
            run_ms: Histogram::new(),
            reports: 0,
            runs: 0,
        }
    }

    pub(crate) fn report(&mut self, usage: &Usage) {
        self.cpu_milli.add(usage.peak.cpu_milli);
        self.memory_mb.add(usage.peak.memory_mb);
        self.reports = self.reports.saturating_add(1);
        if let Some(run) = usage.run {
            self.run_ms.add(run.0);
            self.runs = self.runs.saturating_add(1);
        }
    }

    pub(crate) fn reservation(&self, declared: &Resources) -> Resources {
        let estimate = Resources {
            cpu_milli: self.cpu_milli.quantile(QUANTILE),
            memory_mb: self.memory_mb.quantile(QUANTILE),
            accelerators: declared.accelerators,
        };
        if self.reports < ENOUGH {
            return declared.max(&estimate);
        }
        Resources {
            cpu_milli: with_margin(estimate.cpu_milli),
            memory_mb: with_margin(estimate.memory_mb),
            accelerators: declared.accelerators,
        }
    }

    pub(crate) fn run_time(&self, declared: Millis) -> Millis {
        let estimate = Millis(self.run_ms.quantile(QUANTILE));
        if self.runs < ENOUGH {
            declared.max(estimate)
        } else {
            estimate
        }
    }
}

fn with_margin(amount: u64) -> u64 {
    amount + amount * MARGIN_PERCENT / 100
}
