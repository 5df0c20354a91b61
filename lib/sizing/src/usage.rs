use tarragon_names::{Millis, Resources};

/// Reported resource usage of a task.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Usage {
    /// Highest amount of each resource so far.
    pub peak: Resources,
    /// Time from start to end; `None` while the task runs or if it did not run to completion.
    pub run_time: Option<Millis>,
}
