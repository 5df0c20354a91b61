use derive_more::{Add, AddAssign, Display, From, Into, Sub};
use serde::{Deserialize, Serialize};

/// A monotonic clock reading or a duration, in milliseconds.
///
/// Decision code gets clock readings from its caller and reads no clock itself.
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

/// Greatest assumed difference in rate between the clocks of two hosts, in percent.
pub const MAX_CLOCK_DRIFT_PERCENT: u64 = 1;

/// Time that the grantor adds to each lease to allow for the granularity of timers.
pub const LEASE_MARGIN: Millis = Millis(200);

impl Millis {
    /// Time from `earlier` to `self`, or zero if `earlier` is later.
    #[must_use]
    pub fn since(self, earlier: Self) -> Self {
        Self(self.0.saturating_sub(earlier.0))
    }

    /// Time after which the grantor of a lease of this length may treat it as expired.
    ///
    /// The holder's clock may run slower by `MAX_CLOCK_DRIFT_PERCENT`, so the grantor waits longer:
    /// it adds this share of the lease and `LEASE_MARGIN`.
    #[must_use]
    pub fn with_clock_margin(self) -> Self {
        Self(self.0 + (self.0 * MAX_CLOCK_DRIFT_PERCENT).div_ceil(100)) + LEASE_MARGIN
    }
}
