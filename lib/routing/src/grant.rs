use tarragon_names::{ExecutorName, Millis, PoolName};

/// A slot of an executor, assigned to one request.
///
/// `ExecutorTable::release_slot` frees the slot.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Grant {
    /// Number of the request, unique among the grants of this process.
    pub request_number: u64,
    /// Executor that owns the slot.
    pub executor: ExecutorName,
    /// Pool of the executor.
    pub pool: PoolName,
    /// Epoch of the executor's process; the grant is void in a later process.
    pub epoch: u64,
    /// Address to send the request to, as `ip:port`.
    pub address: String,
    /// Connections that the executor accepts at a time.
    pub connections: u32,
    /// When the slot was assigned.
    pub granted_at: Millis,
}
