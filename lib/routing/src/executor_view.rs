use serde::{Deserialize, Serialize};
use tarragon_names::{DomainName, ExecutorName, HostName, PoolName};

/// An executor as it is shown to operators.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ExecutorView {
    /// The executor.
    pub name: ExecutorName,
    /// Pool that it serves.
    pub pool: PoolName,
    /// Failure domain that it runs in.
    pub domain: DomainName,
    /// Its home host.
    #[serde(rename = "home")]
    pub home_host: HostName,
    /// Requests it runs at a time.
    pub slots: u32,
    /// Slots that are taken.
    pub busy: u32,
    /// `serving`, `joining`, `leaving`, `draining`, `avoided` (after failures) or `silent`.
    pub state: String,
}
