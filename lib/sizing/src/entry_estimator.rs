use tarragon_names::{Millis, Resources};

use crate::{
    Usage,
    histogram::Histogram,
    resource_estimator::{ESTIMATE_QUANTILE, ResourceEstimator},
};

/// Number of reports from which an estimate may fall below the declared value.
const MIN_REPORTS: u32 = 20;
/// Safety margin on an estimate, because a task that exceeds its reservation is throttled or stopped.
const MARGIN_PERCENT: u64 = 5;

/// Estimator of the resources and run time of the tasks of one catalogue entry.
#[derive(Debug)]
pub(crate) struct EntryEstimator {
    cpu_milli: ResourceEstimator,
    memory_mb: ResourceEstimator,
    run_time_ms: Histogram,
    reports: u32,
    run_time_reports: u32,
}

impl EntryEstimator {
    pub(crate) fn new() -> Self {
        Self {
            cpu_milli: ResourceEstimator::new(),
            memory_mb: ResourceEstimator::new(),
            run_time_ms: Histogram::new(),
            reports: 0,
            run_time_reports: 0,
        }
    }

    pub(crate) fn report(&mut self, declared: &Resources, usage: &Usage) {
        self.cpu_milli
            .report(declared.cpu_milli, usage.peak.cpu_milli);
        self.memory_mb
            .report(declared.memory_mb, usage.peak.memory_mb);
        self.reports = self.reports.saturating_add(1);
        if let Some(run_time) = usage.run_time {
            self.run_time_ms.add(run_time.0);
            self.run_time_reports = self.run_time_reports.saturating_add(1);
        }
    }

    pub(crate) fn reservation(&self, declared: &Resources) -> Resources {
        let estimate = Resources {
            cpu_milli: self.cpu_milli.estimate(declared.cpu_milli),
            memory_mb: self.memory_mb.estimate(declared.memory_mb),
            accelerators: declared.accelerators,
        };
        if self.reports < MIN_REPORTS {
            return declared.max(&estimate);
        }
        Resources {
            cpu_milli: with_margin(estimate.cpu_milli),
            memory_mb: with_margin(estimate.memory_mb),
            accelerators: declared.accelerators,
        }
    }

    pub(crate) fn run_time(&self, declared: Millis) -> Millis {
        let estimate = Millis(self.run_time_ms.quantile(ESTIMATE_QUANTILE));
        if self.run_time_reports < MIN_REPORTS {
            declared.max(estimate)
        } else {
            estimate
        }
    }
}

fn with_margin(amount: u64) -> u64 {
    amount + amount * MARGIN_PERCENT / 100
}
