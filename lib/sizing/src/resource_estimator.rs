use crate::histogram::Histogram;

/// Fixed-point value of a ratio of 1 between the used and the declared amount.
const RATIO_UNIT: u64 = 10_000;
/// Quantile of the reports that an estimate covers.
pub(crate) const ESTIMATE_QUANTILE: f32 = 0.95;

/// Estimator of the amount of one resource that the tasks of one catalogue entry use.
///
/// Two distributions are kept: the used amount, and its ratio to the declared amount. If callers
/// are off by a constant factor, the ratio corrects it even for tasks of different sizes. If they
/// are off at random, the used amount is the better predictor. An estimate is derived from the
/// distribution with the smaller relative spread.
#[derive(Clone, Debug)]
pub(crate) struct ResourceEstimator {
    used_amounts: Histogram,
    used_to_declared: Histogram,
}

impl ResourceEstimator {
    pub(crate) fn new() -> Self {
        Self {
            used_amounts: Histogram::new(),
            used_to_declared: Histogram::new(),
        }
    }

    pub(crate) fn report(&mut self, declared: u64, used: u64) {
        self.used_amounts.add(used);
        self.used_to_declared
            .add(used.saturating_mul(RATIO_UNIT) / declared.max(1));
    }

    /// Amount that 19 of 20 tasks are expected not to exceed.
    pub(crate) fn estimate(&self, declared: u64) -> u64 {
        if relative_spread(&self.used_to_declared) < relative_spread(&self.used_amounts) {
            self.used_to_declared
                .quantile(ESTIMATE_QUANTILE)
                .saturating_mul(declared)
                .div_ceil(RATIO_UNIT)
        } else {
            self.used_amounts.quantile(ESTIMATE_QUANTILE)
        }
    }
}

/// Ratio of `ESTIMATE_QUANTILE` to the median, in thousandths.
fn relative_spread(histogram: &Histogram) -> u64 {
    histogram.quantile(ESTIMATE_QUANTILE) * 1_000 / histogram.quantile(0.5).max(1)
}
