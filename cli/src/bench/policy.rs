/// Scheduling policy under test.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Policy {
    /// Queue, indexed placer, estimator, reservation for the head job, backfill and preemption.
    Product,
    /// First come, first served with first fit and declared sizes.
    Baseline,
}

impl Policy {
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Product => "product",
            Self::Baseline => "baseline",
        }
    }
}
