use serde::{Deserialize, Serialize};
use tarragon_names::PoolName;

/// Configuration of a pool of workers.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WorkerPool {
    /// Name that queues and workers refer to.
    pub pool: PoolName,
    /// Whether the workers refuse tasks that exceed their free capacity.
    pub enforces_capacity: bool,
    /// Whether the machines of the pool are switched off.
    pub is_powered_off: bool,
}
