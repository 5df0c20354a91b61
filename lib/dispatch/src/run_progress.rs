use tarragon_names::Millis;

/// Progress of a run, as its worker reports it with each answer to a poll.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RunProgress {
    /// Progress in percent; for a latency-sensitive run, its share of full work.
    pub(crate) percent: u64,
    /// Times at which the worker first and last reported this percentage.
    reported: Option<(Millis, Millis)>,
}

impl RunProgress {
    pub(crate) fn record(&mut self, percent: u64, now: Millis) {
        let first = match self.reported {
            Some((first, _)) if self.percent == percent => first,
            _ => now,
        };
        self.percent = percent;
        self.reported = Some((first, now));
    }

    /// Time for which the worker has reported the same percentage; `None` before the first report.
    ///
    /// It ends with the last report, so a worker that does not answer adds nothing to it.
    pub(crate) fn stalled_for(&self) -> Option<Millis> {
        self.reported.map(|(first, last)| last.since(first))
    }
}
