use tarragon_names::{Millis, Resources};

/// What a task used.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Usage {
    /// Greatest amount of each resource.
    pub peak: Resources,
    /// Time from start to end; `None` while the task runs or if it did not end by itself.
    pub run_time: Option<Millis>,
}
