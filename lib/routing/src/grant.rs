use tarragon_names::{ExecutorName, Millis, PoolName};

/// A slot of an executor, taken for one request.
///
/// It is given back with `ExecutorTable::finish`.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Grant {
    /// Number of the request; no other grant of this process has it.
    pub number: u64,
    /// The executor.
    pub executor: ExecutorName,
    /// Its pool.
    pub pool: PoolName,
    /// Start of the executor's process.
    pub epoch: u64,
    /// Address to send the request to, as `ip:port`.
    pub address: String,
    /// Connections that the executor accepts.
    pub connections: u32,
    /// Time at which the slot was taken.
    pub taken_at: Millis,
}
