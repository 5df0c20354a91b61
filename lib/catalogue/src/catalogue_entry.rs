use serde::{Deserialize, Serialize};
use tarragon_names::{Class, PoolName, TeamName, Workload};

use crate::{Limits, Pattern};

/// Owner, class and limits of the names that a pattern covers.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct CatalogueEntry {
    /// Names that the entry covers.
    pub pattern: Pattern,
    /// Team that owns the work.
    pub owner: TeamName,
    /// Priority class.
    #[serde(default)]
    pub class: Class,
    /// Kinds of work allowed under these names.
    pub workloads: Vec<Workload>,
    /// Pool of executors for service requests.
    #[serde(default)]
    pub pool: Option<PoolName>,
    /// Whether a service request may be sent more than once.
    #[serde(default)]
    pub repeatable: bool,
    /// Limits.
    #[serde(default)]
    pub limits: Limits,
}
