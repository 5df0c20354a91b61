use serde::{Deserialize, Serialize};
use tarragon_names::{DomainName, RackName, Resources, Session, WorkerName};

/// A worker as the leader shows it to operators.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WorkerView {
    /// Name that the worker registered with.
    pub name: WorkerName,
    /// Failure domain by the latest registration with this leader; empty before the first one.
    pub domain: DomainName,
    /// Rack by the latest registration with this leader; empty before the first one.
    pub rack: RackName,
    /// Total resources, reserved or not; zero until the worker registers with this leader.
    pub capacity: Resources,
    /// Sum of the allocations, which can exceed the capacity when tasks use more than declared.
    pub reserved: Resources,
    /// Number of tasks with an allocation on the worker.
    pub tasks: u32,
    /// Session that was confirmed last; default before the first one.
    pub session: Session,
    /// `ready`, `draining`, `quarantined` or `silent`.
    pub state: String,
}
