use hdrhistogram::Histogram;

/// Results of the jobs of one class.
#[derive(Debug)]
pub(crate) struct ClassOutcome {
    /// Milliseconds from acceptance to the first start of each task.
    pub(crate) waits: Histogram<u64>,
    pub(crate) deadlines: u64,
    pub(crate) met: u64,
    /// Tasks that had not started at the end; `waits` includes their wait so far.
    pub(crate) not_started: u64,
}
