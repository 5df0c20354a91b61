use std::collections::{BTreeMap, BTreeSet};

use tarragon_names::{Millis, Name, WorkerName};
use tarragon_workflow::WorkerIncarnation;

/// A worker that may run a step.
#[derive(Clone, Debug)]
pub(crate) struct Approval {
    pub(crate) life: WorkerIncarnation,
    pub(crate) ticket: Name,
    /// Time up to which a start may be decided with the ticket.
    pub(crate) fresh_until: Millis,
}

/// What is known about the workers that may run a step.
#[derive(Clone, Debug, Default)]
pub(crate) struct Advice {
    pub(crate) approved: BTreeMap<WorkerName, Approval>,
    pub(crate) refused: BTreeSet<WorkerName>,
    /// The open call.
    pub(crate) asking: Option<u64>,
    /// No call before this time.
    pub(crate) ask_at: Millis,
}

impl Advice {
    pub(crate) fn is_known(&self, worker: &WorkerName) -> bool {
        self.approved.contains_key(worker) || self.refused.contains(worker)
    }
}
