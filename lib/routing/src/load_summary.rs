use serde::{Deserialize, Serialize};
use tarragon_names::{HostName, PoolName};

/// Slots of one pool at one home host.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PoolLoad {
    /// The pool.
    pub pool: PoolName,
    /// Slots that a new request may take.
    pub free: u32,
    /// All slots of executors that take requests.
    pub slots: u32,
}

/// What a host tells the others about the executors it is home to.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LoadSummary {
    /// The host.
    pub host: HostName,
    /// Rises with each summary of a process, so that an older one cannot replace a newer one.
    pub sequence: u64,
    /// Its pools.
    pub pools: Vec<PoolLoad>,
}
