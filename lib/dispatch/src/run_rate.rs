use tarragon_names::Millis;

use crate::{OrderOutcome, dispatcher_throttle::FULL_RATE};

/// Time for which an order to change the rate without an answer may still be carried out.
const RATE_ORDER_LIFETIME: Millis = Millis(30_000);

/// Interval between two orders for the same rate while an earlier one may still be carried out.
const REPEAT_INTERVAL: Millis = Millis(2_000);

/// The rate that was ordered for a run, and whether the run certainly works at it.
///
/// A worker lists no rate, and may carry out an order without an answer after a newer one. While
/// that is possible, the wanted rate is ordered again.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RunRate {
    /// Rate of the last order, in percent; `None` if it is not known whether it took effect.
    ordered: Option<u64>,
    /// Time of the last order.
    sent_at: Millis,
    /// Number of orders without a result.
    open: u32,
    /// Time until which an order other than the last one may be carried out.
    may_change_until: Millis,
}

impl RunRate {
    /// The rate of a run that has just been placed.
    pub(crate) fn of_new_run() -> Self {
        Self {
            ordered: Some(FULL_RATE),
            ..Self::unknown()
        }
    }

    /// The rate of a run that an earlier leader placed. The worker refuses late orders of that
    /// leader for their lower term.
    pub(crate) fn unknown() -> Self {
        Self {
            ordered: None,
            sent_at: Millis(0),
            open: 0,
            may_change_until: Millis(0),
        }
    }

    /// Returns whether the rate `wanted` has to be ordered now.
    pub(crate) fn needs_order(&self, wanted: u64, now: Millis) -> bool {
        self.ordered != Some(wanted)
            || !self.is_certainly(wanted) && now >= self.sent_at + REPEAT_INTERVAL
    }

    /// Returns whether `rate` was ordered last, at a time when no earlier order could be carried out
    /// any more.
    pub(crate) fn is_certainly(&self, rate: u64) -> bool {
        self.ordered == Some(rate) && self.sent_at >= self.may_change_until
    }

    /// Records an order for the rate `wanted` whose result comes within about `timeout`.
    pub(crate) fn order_sent(&mut self, wanted: u64, now: Millis, timeout: Millis) {
        if self.open > 0 {
            // Two orders on their way may arrive in either order.
            self.may_change_until = self.may_change_until.max(now + timeout);
        }
        self.ordered = Some(wanted);
        self.sent_at = now;
        self.open += 1;
    }

    pub(crate) fn order_finished(&mut self, outcome: OrderOutcome, now: Millis) {
        self.open = self.open.saturating_sub(1);
        if outcome == OrderOutcome::Unanswered {
            self.may_change_until = now + RATE_ORDER_LIFETIME;
        }
        if outcome != OrderOutcome::Accepted {
            self.ordered = None;
        }
    }
}
