use tarragon_names::Millis;

/// Weight of a new run in the pace of a worker, in percent.
const WEIGHT_PERCENT: u64 = 10;

/// Pace beyond the mean, in percent, above which a worker counts as slow.
const SLOW_PERCENT: u64 = 112;

/// Longest run that counts, as a multiple of its estimate; beyond it the estimate was wrong.
const LONGEST: u64 = 4;

/// How long runs take on a worker, as a share of their estimates in thousandths.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Pace(pub(crate) u64);

impl Default for Pace {
    fn default() -> Self {
        Self(1_000)
    }
}

impl Pace {
    /// Takes in a run that was done.
    pub(crate) fn learn(&mut self, ran: Millis, estimate: Millis) {
        if estimate.0 == 0 {
            return;
        }
        let share = (ran.0 * 1_000 / estimate.0).min(LONGEST * 1_000);
        self.0 = (self.0 * (100 - WEIGHT_PERCENT) + share * WEIGHT_PERCENT) / 100;
    }

    /// Tells whether runs take clearly longer than on the mean worker.
    pub(crate) fn is_slow(self, mean: Self) -> bool {
        self.0 * 100 > mean.0 * SLOW_PERCENT
    }
}
