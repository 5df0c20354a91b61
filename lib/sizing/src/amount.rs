use crate::histogram::Histogram;

/// Unit of the ratio between used and declared amounts.
const WHOLE: u64 = 10_000;
pub(crate) const QUANTILE: f32 = 0.95;

/// What tasks of one entry use of one resource, by itself and against what was declared.
///
/// Callers that declare by habit are off by a constant factor, which the ratio corrects even where
/// the tasks of an entry differ in size. Callers that guess are off at random, and there the used
/// amount says more. The one that varies less is taken.
#[derive(Clone, Debug)]
pub(crate) struct Amount {
    used: Histogram,
    ratio: Histogram,
}

impl Amount {
    pub(crate) fn new() -> Self {
        Self {
            used: Histogram::new(),
            ratio: Histogram::new(),
        }
    }

    pub(crate) fn report(&mut self, declared: u64, used: u64) {
        self.used.add(used);
        self.ratio.add(used.saturating_mul(WHOLE) / declared.max(1));
    }

    /// Estimate that 19 of 20 tasks stay below.
    pub(crate) fn estimate(&self, declared: u64) -> u64 {
        if spread(&self.ratio) < spread(&self.used) {
            self.ratio
                .quantile(QUANTILE)
                .saturating_mul(declared)
                .div_ceil(WHOLE)
        } else {
            self.used.quantile(QUANTILE)
        }
    }
}

/// The high quantile against the median, in thousandths.
fn spread(histogram: &Histogram) -> u64 {
    histogram.quantile(QUANTILE) * 1_000 / histogram.quantile(0.5).max(1)
}
