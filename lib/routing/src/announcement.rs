use serde::{Deserialize, Serialize};
use tarragon_names::{DomainName, ExecutorName, Name, PoolName};

/// State that an executor reports periodically to its home host.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Announcement {
    /// Name of the executor, kept over restarts of its process.
    pub name: ExecutorName,
    /// Pool whose requests the executor runs.
    pub pool: PoolName,
    /// Failure domain in which the executor runs.
    pub domain: DomainName,
    /// Address to send requests to, as `ip:port`.
    pub address: String,
    /// Requests that the executor runs at a time.
    pub slots: u32,
    /// Connections that the executor accepts at a time.
    pub connections: u32,
    /// Requests that run in the executor now.
    pub busy: u32,
    /// Whether the executor is shutting down and accepts no new request.
    pub leaving: bool,
    /// Identifies the executor's process; a process with a higher epoch replaces one with a lower.
    pub epoch: u64,
    /// Clock reading from the home host's last reply; `None` in the first announcement to a host.
    ///
    /// The lease runs from this reading, so a delayed announcement cannot extend the lease.
    #[serde(default, rename = "echo")]
    pub echoed_clock: Option<u64>,
    /// Ids of the requests that run in the executor now, from their `X-Tarragon-Request` headers.
    ///
    /// The home host uses them to free the slot of a lost request as soon as the request has ended.
    /// For an executor that does not report them, the home host relies on `busy` alone.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub running: Option<Vec<Name>>,
}
