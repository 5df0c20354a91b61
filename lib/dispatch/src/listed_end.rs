use tarragon_names::Millis;

/// What the leader knew of a run when its worker listed the end.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ListedEnd {
    /// Whether the run had not been declared lost.
    pub(crate) is_expected: bool,
    /// Whether the worker lists the end for the first time.
    pub(crate) is_first: bool,
    /// Time since the placement of the run.
    pub(crate) ran: Millis,
    /// CPU or tail latency that the worker reported last.
    pub(crate) usage_or_tail_ms: Option<u64>,
}
