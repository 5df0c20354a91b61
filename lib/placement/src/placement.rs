use tarragon_names::WorkerName;

/// Outcome of a placement decision.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Placement {
    /// Worker of each placed task, reserved already; empty if nothing was placed.
    pub workers: Vec<WorkerName>,
}

impl Placement {
    /// Tells whether no task was placed.
    pub fn is_empty(&self) -> bool {
        self.workers.is_empty()
    }

    /// Number of placed tasks.
    pub fn len(&self) -> usize {
        self.workers.len()
    }
}
