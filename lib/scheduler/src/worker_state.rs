use std::collections::BTreeSet;

use tarragon_names::{DomainName, Millis, RackName, Resources, Session, TaskId};

/// What the leader knows of a worker.
#[derive(Debug, Default)]
pub(crate) struct WorkerState {
    pub domain: DomainName,
    pub rack: RackName,
    /// Absent until the worker registers with this leader.
    pub capacity: Option<Resources>,
    /// Attempts that hold capacity.
    pub tasks: BTreeSet<TaskId>,
    /// Whether the placer knows it, that is, its session is confirmed and its lease runs.
    pub placed: bool,
    /// Whether the worker says that it leaves.
    pub leaving: bool,
    /// Session that `leaving` was said in.
    pub session: Session,
    /// End of the last lease, from which a silent worker is forgotten after some time.
    pub silent_since: Option<Millis>,
}
