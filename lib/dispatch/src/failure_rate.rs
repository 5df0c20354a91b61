//! Judges the failed runs of a worker against the rate at which runs fail on all workers.
//!
//! Load pattern: a few percent of all runs fail on any worker. A pause after each of them takes a
//! tenth of the workers out of service although none is at fault.

/// Probability of a record by chance, in thousandths, up to which it counts against its worker.
/// Where fewer runs fail than this, one failed run is enough.
const IMPROBABLE_PERMILLE: f64 = 10.0;

/// Number of runs over which the rate is averaged. At this number the error of a rate of a few
/// percent is well below the distance to `IMPROBABLE_PERMILLE`.
const AVERAGED_RUNS: f64 = 1_000.0;

/// Number of successful runs assumed before the first one, so that a new leader judges as if
/// failures were rare until some dozens of runs have shown otherwise.
const ASSUMED_RUNS: f64 = 100.0;

/// Number of runs of a worker for which one of its failures counts in the rate of all workers. It
/// bounds what a few bad workers add to the rate, and the number of failures in a row after which
/// any worker is paused: three at this rate are improbable.
const RUNS_PER_COUNTED_FAILURE: u32 = 5;

/// Number of failures of a worker that may count in excess of `RUNS_PER_COUNTED_FAILURE`, because
/// failures that occur by chance also come close together.
const MAX_EARLY_FAILURES: u32 = 3;

/// Number of latest runs of a worker that are judged together.
const JUDGED_RUNS: u32 = 8;

/// Latest outcomes of the runs on a worker.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RecentOutcomes {
    /// One bit for each of the latest runs, the last in the lowest bit; set if it failed.
    failed: u8,
    /// Number of recorded runs, at most `JUDGED_RUNS`.
    runs: u32,
    /// Number of failed runs since the last successful one.
    pub(crate) failures_in_a_row: u32,
    /// Runs that failures may still count for in the rate of all workers.
    credit: u32,
}

impl Default for RecentOutcomes {
    fn default() -> Self {
        Self {
            failed: 0,
            runs: 0,
            failures_in_a_row: 0,
            credit: MAX_EARLY_FAILURES * RUNS_PER_COUNTED_FAILURE,
        }
    }
}

impl RecentOutcomes {
    fn record(&mut self, is_failure: bool) {
        self.failed = (self.failed << 1) | u8::from(is_failure);
        self.runs = (self.runs + 1).min(JUDGED_RUNS);
        self.credit = (self.credit + 1).min(MAX_EARLY_FAILURES * RUNS_PER_COUNTED_FAILURE);
        self.failures_in_a_row = if is_failure {
            self.failures_in_a_row.saturating_add(1)
        } else {
            0
        };
    }

    /// Returns whether any run has ended.
    pub(crate) fn has_runs(self) -> bool {
        self.runs > 0
    }

    /// Number of failures among the latest runs.
    pub(crate) fn failures(self) -> u32 {
        self.failed.count_ones()
    }
}

/// Rate at which runs fail on all workers, over the latest runs.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FailureRate {
    runs: f64,
    failures: f64,
}

impl Default for FailureRate {
    fn default() -> Self {
        Self {
            runs: ASSUMED_RUNS,
            failures: 0.0,
        }
    }
}

impl FailureRate {
    /// Includes a run that ended on a worker with these outcomes.
    pub(crate) fn record(&mut self, worker: &mut RecentOutcomes, is_failure: bool) {
        worker.record(is_failure);
        let is_counted = is_failure && worker.credit >= RUNS_PER_COUNTED_FAILURE;
        if is_counted {
            worker.credit -= RUNS_PER_COUNTED_FAILURE;
        }
        let keep = 1.0 - 1.0 / AVERAGED_RUNS;
        self.runs = self.runs * keep + 1.0;
        self.failures = self.failures * keep + if is_counted { 1.0 } else { 0.0 };
    }

    /// Returns whether failures are so rare that a single one counts against its worker.
    pub(crate) fn is_low(self) -> bool {
        self.share() * 1_000.0 < IMPROBABLE_PERMILLE
    }

    /// Returns whether the failures in a row, or those among the latest runs, of a worker are
    /// improbable on a worker that fails as many runs as all others.
    pub(crate) fn is_improbable(self, worker: RecentOutcomes) -> bool {
        let improbable = IMPROBABLE_PERMILLE / 1_000.0;
        let share = self.share();
        let in_a_row = share.powi(worker.failures_in_a_row.min(JUDGED_RUNS) as i32);
        in_a_row <= improbable
            || probability_of_at_least(worker.failures(), worker.runs, share) <= improbable
    }

    fn share(self) -> f64 {
        let most = 1.0 / f64::from(RUNS_PER_COUNTED_FAILURE);
        (self.failures / self.runs).min(most)
    }
}

/// Probability of at least `failures` failures in `runs` runs that fail at the rate `share` each.
fn probability_of_at_least(failures: u32, runs: u32, share: f64) -> f64 {
    let mut exactly = (1.0 - share).powi(runs as i32);
    let mut fewer = 0.0;
    for count in 0..failures {
        fewer += exactly;
        exactly *= f64::from(runs - count) / f64::from(count + 1) * share / (1.0 - share);
    }
    1.0 - fewer
}
