use tarragon_names::WorkerName;

/// Result of a placement decision.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Placement {
    /// Worker of each placed task, where its capacity is already reserved.
    pub workers: Vec<WorkerName>,
}

impl Placement {
    /// Whether no task was placed.
    pub fn is_empty(&self) -> bool {
        self.workers.is_empty()
    }

    /// Number of placed tasks.
    pub fn len(&self) -> usize {
        self.workers.len()
    }
}
