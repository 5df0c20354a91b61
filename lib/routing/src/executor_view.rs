use serde::{Deserialize, Serialize};
use tarragon_names::{DomainName, ExecutorName, HostName, PoolName};

/// Status of an executor for operators.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ExecutorView {
    /// Name of the executor.
    pub name: ExecutorName,
    /// Pool whose requests the executor runs.
    pub pool: PoolName,
    /// Failure domain in which the executor runs.
    pub domain: DomainName,
    /// Home host, which sends all requests to the executor.
    #[serde(rename = "home")]
    pub home_host: HostName,
    /// Requests that the executor runs at a time.
    pub slots: u32,
    /// Slots that are in use or may be, as the home host counts them.
    pub busy: u32,
    /// `serving`, `joining`, `leaving`, `draining`, `avoided` (after failures) or `silent`.
    pub state: String,
}
