use tarragon_names::{Millis, Name};

/// A pair of images of which the runs of one slow down those of the other on the same worker.
#[derive(Clone, Debug, PartialEq)]
pub struct Pair {
    /// Image whose runs slow others down.
    pub source: Name,
    /// Image whose runs are slowed down.
    pub affected: Name,
    /// How much longer work takes beside the source, in percent; 100 for no effect.
    pub slowdown_percent: u64,
    /// Probability, in thousandths, of comparisons at least this clear without any effect; a lower one is
    /// more certain.
    pub p_value_permille: u64,
    /// Number of independent comparisons behind the estimate.
    pub comparisons: usize,
}

/// A pair that became known or was forgotten.
#[derive(Clone, Debug, PartialEq)]
pub enum PairChange {
    /// The pair is kept apart from now on.
    Known(Pair),
    /// The pair is no longer kept apart; the estimate is the last one.
    Forgotten(Pair),
}

/// Estimate of the effect of a source on an affected image.
#[derive(Clone, Debug, Default)]
pub(crate) struct Estimate {
    /// Median of the comparisons, as the logarithm of the slowdown.
    pub(crate) log_effect: f64,
    /// Probability of comparisons at least this clear without any effect.
    pub(crate) p_value: f64,
    /// Times of the observations with the source, one for each comparison.
    pub(crate) compared_at: Vec<Millis>,
}

impl Estimate {
    /// Time of the last observation with the source.
    pub(crate) fn latest(&self) -> Millis {
        self.compared_at.iter().copied().max().unwrap_or_default()
    }

    /// Number of comparisons with an observation after `at`.
    pub(crate) fn comparisons_after(&self, at: Millis) -> usize {
        self.compared_at
            .iter()
            .filter(|compared| **compared > at)
            .count()
    }
}

/// Estimate of a pair over time.
#[derive(Clone, Debug)]
pub(crate) struct PairState {
    /// The pair with the last estimate.
    pub(crate) pair: Pair,
    /// Last estimate that was certain enough to be kept.
    pub(crate) estimate: Estimate,
    /// Time of the last observation behind it.
    pub(crate) supported_at: Millis,
    /// Number of estimates in a row that were certain.
    pub(crate) certain_in_a_row: u32,
    /// Whether the pair is kept apart.
    pub(crate) is_known: bool,
}
