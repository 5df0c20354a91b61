use serde::{Deserialize, Serialize};
use tarragon_names::PoolName;

/// A pool of workers as the operator describes it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WorkerPool {
    /// Name of the pool.
    pub pool: PoolName,
    /// Whether its workers refuse what does not fit.
    pub enforces_capacity: bool,
    /// Whether its machines are switched off.
    pub is_powered_off: bool,
}
