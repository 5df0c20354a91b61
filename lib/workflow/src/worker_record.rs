use derive_more::Display;
use serde::{Deserialize, Serialize};
use tarragon_names::{DomainName, Name, PoolName, RackName, Resources, WorkerName};

/// One incarnation of a worker process. A restarted worker remembers nothing of its earlier
/// incarnations.
#[derive(Clone, Debug, Deserialize, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[display("{worker}@{started_ms}")]
pub struct WorkerIncarnation {
    /// Name of the worker, which all its incarnations share.
    pub worker: WorkerName,
    /// Unix time at which the process started, in milliseconds; 0 if the worker did not report it.
    pub started_ms: u64,
}

impl WorkerIncarnation {
    /// Returns whether an answer with this start time may come from the incarnation. Neither has to tell its
    /// start time.
    pub fn may_have_started_at(&self, started_ms: Option<u64>) -> bool {
        self.started_ms == 0 || started_ms.is_none_or(|at_ms| at_ms == self.started_ms)
    }
}

/// State of a worker: its latest announcement, and the ends acknowledged to it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WorkerRecord {
    /// Incarnation that sent the announcement.
    pub incarnation: WorkerIncarnation,
    /// Network address at which the worker receives orders.
    pub address: Name,
    /// Failure domain that the worker is in.
    pub domain: DomainName,
    /// Pool whose queues the worker serves.
    pub pool: PoolName,
    /// Total resources that the worker offers.
    pub capacity: Resources,
    /// Labels that steps may require.
    pub labels: Vec<Name>,
    /// Rack that the worker is in; None if it is not known.
    pub rack: Option<RackName>,
    /// Whether the worker is about to leave and gets no new tasks.
    pub is_draining: bool,
    /// Highest number of an end that this incarnation reported and that was recorded.
    pub acknowledged: u64,
}
