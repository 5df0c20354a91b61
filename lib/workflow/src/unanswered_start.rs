use tarragon_names::WorkerName;

/// What the state remembers of a start order that got no answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct UnansweredStart {
    /// Unix time of the record in milliseconds.
    pub(crate) recorded_ms: u64,
    /// Worker on which the run was placed; `None` if no run was placed at that time.
    pub(crate) worker: Option<WorkerName>,
}
