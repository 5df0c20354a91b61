use tarragon_names::{Millis, Resources};

use crate::{
    Usage,
    amount::{Amount, QUANTILE},
    histogram::Histogram,
};

/// Reports below which a declared size is still believed.
const ENOUGH: u32 = 20;
/// Added to the estimate, because a peak above the reservation costs a throttled or stopped task.
const MARGIN_PERCENT: u64 = 5;

/// Usage of the tasks of one catalogue entry.
#[derive(Debug)]
pub(crate) struct EntryUsage {
    cpu_milli: Amount,
    memory_mb: Amount,
    run_ms: Histogram,
    reports: u32,
    runs: u32,
}

impl EntryUsage {
    pub(crate) fn new() -> Self {
        Self {
            cpu_milli: Amount::new(),
            memory_mb: Amount::new(),
            run_ms: Histogram::new(),
            reports: 0,
            runs: 0,
        }
    }

    pub(crate) fn report(&mut self, declared: &Resources, usage: &Usage) {
        self.cpu_milli
            .report(declared.cpu_milli, usage.peak.cpu_milli);
        self.memory_mb
            .report(declared.memory_mb, usage.peak.memory_mb);
        self.reports = self.reports.saturating_add(1);
        if let Some(run) = usage.run_time {
            self.run_ms.add(run.0);
            self.runs = self.runs.saturating_add(1);
        }
    }

    pub(crate) fn reservation(&self, declared: &Resources) -> Resources {
        let estimate = Resources {
            cpu_milli: self.cpu_milli.estimate(declared.cpu_milli),
            memory_mb: self.memory_mb.estimate(declared.memory_mb),
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
