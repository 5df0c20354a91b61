use serde::{Deserialize, Serialize};
use tarragon_names::{DomainName, RackName, Resources, Session, WorkerName};

/// A worker as it is shown to operators.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WorkerView {
    /// The worker.
    pub name: WorkerName,
    /// Its failure domain.
    pub domain: DomainName,
    /// Its rack.
    pub rack: RackName,
    /// All that it offers.
    pub capacity: Resources,
    /// What is reserved on it.
    pub reserved: Resources,
    /// Tasks assigned to it.
    pub tasks: u32,
    /// Its session.
    pub session: Session,
    /// `ready`, `draining`, `quarantined` or `silent`.
    pub state: String,
}
