use std::collections::{BTreeMap, BTreeSet};

use tarragon_names::{Millis, Name, WorkerName};
use tarragon_workflow::WorkerIncarnation;

/// Approval of a worker for a step.
#[derive(Clone, Debug)]
pub(crate) struct Approval {
    pub(crate) incarnation: WorkerIncarnation,
    pub(crate) ticket: Name,
    /// Time until which a start may be decided with the ticket.
    pub(crate) usable_until: Millis,
}

/// What the advice service has said about the workers that may run a step.
#[derive(Clone, Debug, Default)]
pub(crate) struct Advice {
    pub(crate) approved: BTreeMap<WorkerName, Approval>,
    pub(crate) refused: BTreeSet<WorkerName>,
    /// Number of the request that has no result yet.
    pub(crate) open_request: Option<u64>,
    /// No request before this time.
    pub(crate) next_request_at: Millis,
}

impl Advice {
    pub(crate) fn is_judged(&self, worker: &WorkerName) -> bool {
        self.approved.contains_key(worker) || self.refused.contains(worker)
    }
}
