/// One in this many of the counted outcomes is dropped with each new one.
const COUNTED_OUTCOMES: u64 = 32;

/// How the latest runs ended of tasks that had failed on another worker before, in thousandths.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RetryOutcomes {
    succeeded: u64,
    failed: u64,
}

impl RetryOutcomes {
    /// Includes the end of a run of a task that had failed on another worker.
    pub(crate) fn record(&mut self, is_success: bool) {
        let keep = |sum: u64| sum * (COUNTED_OUTCOMES - 1) / COUNTED_OUTCOMES;
        self.succeeded = keep(self.succeeded) + if is_success { 1_000 } else { 0 };
        self.failed = keep(self.failed) + if is_success { 0 } else { 1_000 };
    }

    /// Returns whether most failed tasks succeed on another worker, so that a failure is most
    /// likely the fault of its worker.
    pub(crate) fn blame_workers(self) -> bool {
        self.succeeded > self.failed
    }
}
