use serde::{Deserialize, Serialize};
use tarragon_names::PoolName;

/// A pool of workers as the operator describes it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Service {
    /// Name of the pool.
    pub pool: PoolName,
    /// Whether its workers refuse what does not fit.
    pub guards_capacity: bool,
    /// Whether its machines are switched off.
    pub spare: bool,
}
