use tarragon_names::Millis;

/// Length of the sliding window over which successes and retries are counted, in seconds.
const WINDOW_S: u64 = 10;

/// Retries allowed in the window, in percent of the successes in it.
const RETRY_PERCENT: u64 = 10;

/// Retries allowed in the window in addition to the percentage, so that some are possible without
/// any success.
const BASE_RETRIES: u64 = 3;

/// Successes and retries within one second.
#[derive(Clone, Copy, Debug, Default)]
struct SecondCounts {
    number: u64,
    successes: u64,
    retries: u64,
}

/// Limits retries to a share of the recent successes, so that retries cannot amplify an overload.
#[derive(Clone, Debug, Default)]
pub struct RetryBudget {
    seconds: [SecondCounts; WINDOW_S as usize],
}

impl RetryBudget {
    /// Counts an answered request.
    pub fn record_success(&mut self, now: Millis) {
        self.current_second(now).successes += 1;
    }

    /// Consumes one retry; false if the budget is used up.
    pub fn try_take(&mut self, now: Millis) -> bool {
        let current = now.0 / 1_000;
        let recent = self
            .seconds
            .iter()
            .filter(|second| second.number + WINDOW_S > current);
        let (successes, retries) = recent.fold((0, 0), |(successes, retries), second| {
            (successes + second.successes, retries + second.retries)
        });
        if retries >= successes * RETRY_PERCENT / 100 + BASE_RETRIES {
            return false;
        }
        self.current_second(now).retries += 1;
        true
    }

    /// Counts of the current second, cleared if the array element still holds an earlier second.
    fn current_second(&mut self, now: Millis) -> &mut SecondCounts {
        let number = now.0 / 1_000;
        let second = &mut self.seconds[(number % WINDOW_S) as usize];
        if second.number != number {
            *second = SecondCounts {
                number,
                ..SecondCounts::default()
            };
        }
        second
    }
}
