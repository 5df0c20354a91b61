use tarragon_names::Millis;

/// Seconds that the budget looks back.
const WINDOW_S: u64 = 10;

/// Retries allowed for each hundred successes in the window.
const PERCENT: u64 = 10;

/// Retries allowed in the window without any success.
const BASE: u64 = 3;

/// Successes and retries of one second.
#[derive(Clone, Copy, Debug, Default)]
struct Second {
    number: u64,
    successes: u64,
    retries: u64,
}

/// Bounds retries to a share of recent successes, so that retries cannot multiply an overload.
#[derive(Clone, Debug, Default)]
pub struct RetryBudget {
    seconds: [Second; WINDOW_S as usize],
}

impl RetryBudget {
    /// Counts a request that was answered.
    pub fn succeeded(&mut self, now: Millis) {
        self.second(now).successes += 1;
    }

    /// Takes one retry from the budget, if it holds one.
    pub fn take(&mut self, now: Millis) -> bool {
        let current = now.0 / 1_000;
        let recent = self
            .seconds
            .iter()
            .filter(|second| second.number + WINDOW_S > current);
        let (successes, retries) = recent.fold((0, 0), |(successes, retries), second| {
            (successes + second.successes, retries + second.retries)
        });
        if retries >= successes * PERCENT / 100 + BASE {
            return false;
        }
        self.second(now).retries += 1;
        true
    }

    fn second(&mut self, now: Millis) -> &mut Second {
        let number = now.0 / 1_000;
        let second = &mut self.seconds[(number % WINDOW_S) as usize];
        if second.number != number {
            *second = Second {
                number,
                ..Second::default()
            };
        }
        second
    }
}
