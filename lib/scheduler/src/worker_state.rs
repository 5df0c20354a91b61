use std::collections::BTreeSet;

use tarragon_names::{DomainName, Millis, RackName, Resources, Session, TaskId};

/// What the leader knows of a worker.
#[derive(Debug, Default)]
pub(crate) struct WorkerState {
    pub domain: DomainName,
    pub rack: RackName,
    /// `None` until the worker registers with this leader.
    pub capacity: Option<Resources>,
    /// Tasks with an allocation on this worker.
    pub tasks: BTreeSet<TaskId>,
    /// Whether the placer has the worker: its session is confirmed and its lease has not ended.
    pub is_in_placer: bool,
    /// Whether the worker announced in `session` that it leaves.
    pub is_leaving: bool,
    /// Session that was confirmed last, or in which the worker announced that it leaves.
    pub session: Session,
    /// End of the last lease. A worker without tasks is forgotten `forget_worker_after` later.
    pub silent_since: Option<Millis>,
}
