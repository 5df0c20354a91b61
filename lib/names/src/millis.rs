use derive_more::{Add, AddAssign, Display, From, Into, Sub};
use serde::{Deserialize, Serialize};

/// A monotonic reading or a duration in milliseconds, handed to decision code by its caller.
#[derive(
    Add,
    AddAssign,
    Clone,
    Copy,
    Debug,
    Default,
    Deserialize,
    Display,
    Eq,
    From,
    Hash,
    Into,
    Ord,
    PartialEq,
    PartialOrd,
    Serialize,
    Sub,
)]
#[display("{_0}ms")]
pub struct Millis(pub u64);

/// Greatest difference in rate between the clocks of two hosts, in percent.
pub const MAX_CLOCK_DRIFT_PERCENT: u64 = 1;

/// Time added to each lease by its grantor for the granularity of timers.
pub const LEASE_MARGIN: Millis = Millis(200);

impl Millis {
    /// Time from `earlier` to `self`, or zero if `earlier` is later.
    #[must_use]
    pub fn since(self, earlier: Self) -> Self {
        Self(self.0.saturating_sub(earlier.0))
    }

    /// Time after which the grantor of a lease of this length may rely on its end.
    ///
    /// The holder's clock may run slower by `MAX_CLOCK_DRIFT_PERCENT`, so the grantor waits longer.
    #[must_use]
    pub fn with_clock_margin(self) -> Self {
        Self(self.0 + (self.0 * MAX_CLOCK_DRIFT_PERCENT).div_ceil(100)) + LEASE_MARGIN
    }
}
