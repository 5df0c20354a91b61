//! Speed of a worker, from the durations of its runs compared with those of other workers.
//!
//! Load pattern: workers take 0.6 to 1.6 times the usual time, and callers' estimates are wrong by a
//! factor of two and more. Runs of one step share their estimate, so its error cancels when they are
//! compared with each other.

/// Number of latest observations that are kept for a worker, of each kind.
const KEPT_OBSERVATIONS: usize = 16;

/// Number of observations up to which nothing is concluded from them: a straggler among fewer
/// decides the result.
const MIN_OBSERVATIONS: usize = 3;

/// Number of observations of the usual speed that are assumed for each worker.
const ASSUMED_OBSERVATIONS: u64 = 1;

/// Duration of a run on a worker of the usual speed, in thousandths.
const USUAL: u64 = 1_000;

/// Highest and lowest observation that counts.
const MAX_OBSERVATION: u64 = 4_000;
const MIN_OBSERVATION: u64 = 250;

/// What a duration was compared with.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Comparison {
    /// The runs of the same step on other workers.
    Step,
    /// The estimate of the caller, because there are no such runs.
    Estimate,
}

/// Duration of a run on a worker, relative to that on the mean worker.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct SpeedFactor {
    /// In thousandths; a higher value is slower.
    pub(crate) permille: u64,
    /// Largest error to be expected, in thousandths.
    pub(crate) uncertainty: u64,
}

impl SpeedFactor {
    /// The factor of a worker of which nothing is known.
    pub(crate) const UNKNOWN: Self = Self {
        permille: USUAL,
        uncertainty: USUAL,
    };

    /// The value between this factor and the usual one that is nearest to the usual one within the
    /// uncertainty.
    pub(crate) fn cautious(self) -> u64 {
        let Self {
            permille,
            uncertainty,
        } = self;
        if permille >= USUAL {
            permille.saturating_sub(uncertainty).max(USUAL)
        } else {
            (permille + uncertainty).min(USUAL)
        }
    }
}

/// Means of the speeds of all workers.
#[derive(Clone, Copy, Debug)]
pub(crate) struct MeanSpeed {
    step: u64,
    estimate: u64,
}

impl Default for MeanSpeed {
    fn default() -> Self {
        Self {
            step: USUAL,
            estimate: USUAL,
        }
    }
}

impl MeanSpeed {
    pub(crate) fn of<'a, I>(speeds: &I) -> Self
    where
        I: Iterator<Item = &'a WorkerSpeed> + Clone,
    {
        let mean = |comparison| {
            let all = speeds.clone().map(|speed| speed.observations(comparison));
            let known = all.filter(Observations::is_sufficient);
            let (sum, count) = known.fold((0, 0), |(sum, count), observations| {
                (sum + observations.value, count + 1)
            });
            u64::checked_div(sum, count).unwrap_or(USUAL)
        };
        Self {
            step: mean(Comparison::Step),
            estimate: mean(Comparison::Estimate),
        }
    }
}

/// Latest observations of the speed of a worker.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct WorkerSpeed {
    step: Observations,
    estimate: Observations,
}

impl WorkerSpeed {
    /// Includes a run that took `permille` thousandths of what it was compared with.
    pub(crate) fn record(&mut self, comparison: Comparison, permille: u64) {
        match comparison {
            Comparison::Step => self.step.record(permille),
            Comparison::Estimate => self.estimate.record(permille),
        }
    }

    /// Duration of runs on the worker relative to the mean worker. Estimates decide only where no
    /// runs could be compared with each other.
    pub(crate) fn relative_to(&self, mean: MeanSpeed) -> SpeedFactor {
        let (observations, mean) = if self.step.is_sufficient() {
            (self.step, mean.step)
        } else if self.estimate.is_sufficient() {
            (self.estimate, mean.estimate)
        } else {
            return SpeedFactor::UNKNOWN;
        };
        SpeedFactor {
            permille: observations.value * USUAL / mean.max(1),
            uncertainty: observations.uncertainty * USUAL / mean.max(1),
        }
    }

    fn observations(&self, comparison: Comparison) -> Observations {
        match comparison {
            Comparison::Step => self.step,
            Comparison::Estimate => self.estimate,
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct Observations {
    latest: [u16; KEPT_OBSERVATIONS],
    count: usize,
    next: usize,
    /// Mean of the middle third and of the assumed observations. Stragglers are not in it.
    value: u64,
    uncertainty: u64,
}

impl Default for Observations {
    fn default() -> Self {
        Self {
            latest: [0; KEPT_OBSERVATIONS],
            count: 0,
            next: 0,
            value: USUAL,
            uncertainty: USUAL,
        }
    }
}

impl Observations {
    fn record(&mut self, permille: u64) {
        self.latest[self.next] = permille.clamp(MIN_OBSERVATION, MAX_OBSERVATION) as u16;
        self.next = (self.next + 1) % KEPT_OBSERVATIONS;
        self.count = (self.count + 1).min(KEPT_OBSERVATIONS);
        let mut sorted = self.latest;
        let sorted = &mut sorted[..self.count];
        sorted.sort_unstable();
        let third = self.count / 3;
        let middle = &sorted[third..self.count - third];
        let sum = middle.iter().map(|ratio| u64::from(*ratio)).sum::<u64>();
        let (mean, count) = (sum / middle.len() as u64, self.count as u64);
        self.value = (mean * count + USUAL * ASSUMED_OBSERVATIONS) / (count + ASSUMED_OBSERVATIONS);
        let spread = middle[middle.len() - 1] - middle[0];
        self.uncertainty = u64::from(spread) / count.isqrt();
    }

    fn is_sufficient(&self) -> bool {
        self.count >= MIN_OBSERVATIONS
    }
}
