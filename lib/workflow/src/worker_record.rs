use derive_more::Display;
use serde::{Deserialize, Serialize};
use tarragon_names::{DomainName, Name, PoolName, RackName, Resources, WorkerName};

/// One incarnation of a worker; it knows nothing of the lives before.
#[derive(Clone, Debug, Deserialize, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[display("{worker}@{started_ms}")]
pub struct WorkerIncarnation {
    /// The worker.
    pub worker: WorkerName,
    /// Unix time of its start in milliseconds; 0 if it does not say.
    pub started_ms: u64,
}

/// A worker as it announced itself.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WorkerRecord {
    /// Its present incarnation.
    pub incarnation: WorkerIncarnation,
    /// Where it takes orders.
    pub address: Name,
    /// Its failure domain.
    pub domain: DomainName,
    /// Its pool.
    pub pool: PoolName,
    /// What it offers.
    pub capacity: Resources,
    /// Its labels.
    pub labels: Vec<Name>,
    /// Its rack.
    pub rack: Option<RackName>,
    /// It is about to leave and takes no new work.
    pub is_draining: bool,
    /// Ends up to this number were taken note of.
    pub acknowledged: u64,
}
