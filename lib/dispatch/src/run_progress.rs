use tarragon_names::Millis;

/// Progress of a run, as its worker reports it with each answer to a poll.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RunProgress {
    /// Progress in percent; for a latency-sensitive run, its share of full work.
    pub(crate) percent: u64,
    /// Times at which the worker first and last reported this percentage.
    reported: Option<(Millis, Millis)>,
    /// Percentage of the first report, and its time.
    begun: Option<(u64, Millis)>,
}

/// Time over which the speed of a run is measured at least, so that delays of single reports do not
/// decide.
const MIN_MEASURED_TIME: Millis = Millis(800);

/// Progress over which the speed of a run is measured at least, in percent. Reports are rounded to
/// one percent.
const MIN_MEASURED_PERCENT: u64 = 3;

impl RunProgress {
    pub(crate) fn record(&mut self, percent: u64, now: Millis) {
        let first = match self.reported {
            Some((first, _)) if self.percent == percent => first,
            _ => now,
        };
        if self.begun.is_none_or(|(begun, _)| percent < begun) {
            self.begun = Some((percent, now));
        }
        self.percent = percent;
        self.reported = Some((first, now));
    }

    /// Time until the run ends at the speed of its reports so far; `None` if too little was reported.
    ///
    /// A run that began with nothing done at `started_at` is measured from then on.
    pub(crate) fn remaining(&self, started_at: Option<Millis>, now: Millis) -> Option<Millis> {
        let (begun_percent, begun_at) = started_at.map_or(self.begun, |at| Some((0, at)))?;
        let (reached_at, _) = self.reported?;
        let time = reached_at.since(begun_at);
        let percent = self.percent.saturating_sub(begun_percent);
        if time < MIN_MEASURED_TIME || percent < MIN_MEASURED_PERCENT {
            return None;
        }
        // The reports are rounded down; the run may have done nearly one percent more.
        let left = 100_u64.saturating_sub(self.percent + 1);
        let remaining = Millis(time.0 * left / (percent + 1));
        Some(remaining.since(now.since(reached_at)))
    }

    /// Time for which the worker has reported the same percentage; `None` before the first report.
    ///
    /// It ends with the last report, so a worker that does not answer adds nothing to it.
    pub(crate) fn stalled_for(&self) -> Option<Millis> {
        self.reported.map(|(first, last)| last.since(first))
    }
}
