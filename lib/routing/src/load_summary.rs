use serde::{Deserialize, Serialize};
use tarragon_names::{HostName, PoolName};

/// Slots of one pool at one home host.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PoolLoad {
    /// Pool of the executors.
    pub pool: PoolName,
    /// Slots that are free for new requests.
    pub free: u32,
    /// All slots of the executors that accept requests.
    pub slots: u32,
}

/// Summary that a home host sends to the other hosts about the slots of its executors.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LoadSummary {
    /// Home host that sends the summary.
    pub host: HostName,
    /// Increases with each summary of a process, so that an older one cannot replace a newer one.
    pub sequence: u64,
    /// Load of each pool that has executors on the host.
    pub pools: Vec<PoolLoad>,
}
