/// Thousandths of a repeat that each answered order allows.
const REPEAT_PER_ANSWER_MILLI: u64 = 100;

/// Thousandths of a repeat that one repeat uses.
const REPEAT_MILLI: u64 = 1_000;

/// Repeats that may be saved up.
const MAX_SAVED_REPEATS: u64 = 20;

/// Limits the repeated orders of a host to a share of its answered ones, so that repeats do not add load
/// where the load is the cause.
#[derive(Clone, Copy, Debug)]
pub struct RepeatBudget {
    saved_milli: u64,
}

impl Default for RepeatBudget {
    fn default() -> Self {
        Self {
            saved_milli: MAX_SAVED_REPEATS * REPEAT_MILLI,
        }
    }
}

impl RepeatBudget {
    /// Counts an answered order.
    pub fn record_answer(&mut self) {
        let saved = self.saved_milli + REPEAT_PER_ANSWER_MILLI;
        self.saved_milli = saved.min(MAX_SAVED_REPEATS * REPEAT_MILLI);
    }

    /// Uses one repeat; false if none is left.
    pub fn try_take(&mut self) -> bool {
        let left = self.saved_milli.checked_sub(REPEAT_MILLI);
        self.saved_milli = left.unwrap_or(self.saved_milli);
        left.is_some()
    }
}
