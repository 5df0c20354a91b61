use std::ops::{Add, AddAssign, Sub};

use derive_more::{Display, From, Into};
use serde::{Deserialize, Serialize};

/// A monotonic clock reading or a duration, in milliseconds.
///
/// Decision code gets clock readings from its caller and reads no clock itself. Sums and differences
/// saturate, because workers and callers report durations: a deadline that wraps around would lie in
/// the past.
#[derive(
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
        let drift = self.0.saturating_mul(MAX_CLOCK_DRIFT_PERCENT).div_ceil(100);
        self + Self(drift) + LEASE_MARGIN
    }
}

impl Add for Millis {
    type Output = Self;

    fn add(self, rhs: Self) -> Self {
        Self(self.0.saturating_add(rhs.0))
    }
}

impl AddAssign for Millis {
    fn add_assign(&mut self, rhs: Self) {
        *self = *self + rhs;
    }
}

impl Sub for Millis {
    type Output = Self;

    fn sub(self, rhs: Self) -> Self {
        self.since(rhs)
    }
}
