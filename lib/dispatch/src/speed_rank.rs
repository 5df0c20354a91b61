//! Order of workers of different speeds for a step.
//!
//! Load pattern: workers take 0.6 to 1.6 times the usual time, and steps differ in the time that
//! their objectives leave. A step that ends in time on a slow worker leaves the fast ones to steps
//! that do not.

use tarragon_names::Millis;

use crate::worker_speed::SpeedFactor;

/// Upper bounds of the classes of slow workers, in thousandths of the usual duration, the first that
/// of workers of the usual speed. Workers within 12% count as alike.
const SLOW_BOUNDS: [u64; 4] = [1_120, 1_400, 1_750, 2_190];

/// Lower bounds of the classes of fast workers, the first that of workers of the usual speed.
const FAST_BOUNDS: [u64; 4] = [880, 700, 560, 450];

/// Time from the placement of a run until it works, and from its end until the leader knows.
const ORDER_TIME: Millis = Millis(200);

/// Part of an estimate that is added to it: callers' estimates are often too low.
const ESTIMATE_MARGIN_PERCENT: u64 = 50;

/// Like `ESTIMATE_MARGIN_PERCENT`, for a duration that follows from runs of the same step.
const MEASURED_MARGIN_PERCENT: u64 = 15;

/// Free part of a pool, in percent, below which it is nearly full. Slow workers would then hold
/// capacity for longer that other steps wait for.
const MIN_FREE_PERCENT: u64 = 25;

/// Time until a step has to end, in multiples of its duration, from which it is left to slow workers
/// only if the pool is not nearly full.
const AMPLE_TIME_FACTOR: u64 = 2;

/// Class of the speed of a worker; 0 is the usual speed, and a higher class is slower.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) struct SpeedClass(i8);

impl SpeedClass {
    pub(crate) fn of(factor: SpeedFactor) -> Self {
        let permille = factor.cautious();
        let slower = SLOW_BOUNDS.iter().filter(|bound| permille > **bound);
        let faster = FAST_BOUNDS.iter().filter(|bound| permille < **bound);
        Self(slower.count() as i8 - faster.count() as i8)
    }

    pub(crate) fn is_slow(self) -> bool {
        self.0 > 0
    }
}

/// Position of a worker in the order for a step; lower ones are preferred.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) struct SpeedRank(u8, i8);

/// What a step needs of the speed of its workers.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SpeedNeed {
    /// Expected duration of a run on the mean worker; zero if it is not known.
    pub(crate) duration: Millis,
    /// Whether the duration follows from runs of the same step.
    pub(crate) is_measured: bool,
    /// Time until the step has to end.
    pub(crate) left: Millis,
    /// Available and total processor time of the pool.
    pub(crate) available: u64,
    pub(crate) capacity: u64,
}

impl SpeedNeed {
    /// Returns the position of a worker with this factor.
    pub(crate) fn rank(&self, factor: SpeedFactor) -> SpeedRank {
        let class = SpeedClass::of(factor);
        if self.leaves_order() {
            return SpeedRank(u8::from(class.is_slow()), 0);
        }
        if self.is_in_time(factor) {
            SpeedRank(0, -class.0)
        } else {
            SpeedRank(1, class.0)
        }
    }

    /// Returns whether the step has no use for a choice beyond leaving slow workers to the last.
    fn leaves_order(&self) -> bool {
        let is_nearly_full = self.available * 100 < self.capacity * MIN_FREE_PERCENT;
        let has_ample_time = self.left.0 >= self.duration.0 * AMPLE_TIME_FACTOR;
        // A step that ends too late anywhere leaves the fast workers to others.
        let is_too_late = self.left.0 * 1_000 < self.duration.0 * FAST_BOUNDS[3];
        self.duration.0 == 0 || is_too_late || (is_nearly_full && has_ample_time)
    }

    fn is_in_time(&self, factor: SpeedFactor) -> bool {
        let margin = if self.is_measured {
            MEASURED_MARGIN_PERCENT
        } else {
            ESTIMATE_MARGIN_PERCENT
        };
        let expected = self.duration.0 * factor.permille / 1_000;
        expected * (100 + margin) / 100 + ORDER_TIME.0 <= self.left.0
    }
}
