use tarragon_names::Millis;

/// Weight of a new run in the speed of a worker, in percent.
const NEW_RUN_WEIGHT_PERCENT: u64 = 10;

/// Value in percent of the mean of all workers, above which a worker counts as slow.
const SLOW_WORKER_PERCENT: u64 = 112;

/// Longest duration that counts, as a multiple of the estimate; a run beyond it had a wrong
/// estimate.
const MAX_ESTIMATE_FACTOR: u64 = 4;

/// Mean duration of the runs on a worker, in thousandths of their estimates; a higher value is
/// slower.
#[derive(Clone, Copy, Debug)]
pub(crate) struct WorkerSpeed(pub(crate) u64);

impl Default for WorkerSpeed {
    fn default() -> Self {
        Self(1_000)
    }
}

impl WorkerSpeed {
    /// Includes a successful run in the mean.
    pub(crate) fn record_run(&mut self, ran: Millis, estimate: Millis) {
        if estimate.0 == 0 {
            return;
        }
        let share = (ran.0 * 1_000 / estimate.0).min(MAX_ESTIMATE_FACTOR * 1_000);
        self.0 = (self.0 * (100 - NEW_RUN_WEIGHT_PERCENT) + share * NEW_RUN_WEIGHT_PERCENT) / 100;
    }

    /// Returns whether runs take clearly longer than on the mean worker.
    pub(crate) fn is_slow(self, mean: Self) -> bool {
        self.0 * 100 > mean.0 * SLOW_WORKER_PERCENT
    }
}
