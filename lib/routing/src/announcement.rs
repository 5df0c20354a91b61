use serde::{Deserialize, Serialize};
use tarragon_names::{DomainName, ExecutorName, Name, PoolName};

/// What an executor says of itself to its home host.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Announcement {
    /// The executor.
    pub name: ExecutorName,
    /// Pool that it serves.
    pub pool: PoolName,
    /// Failure domain that it runs in.
    pub domain: DomainName,
    /// Address to send requests to, as `ip:port`.
    pub address: String,
    /// Requests it runs at a time.
    pub slots: u32,
    /// Connections it accepts.
    pub connections: u32,
    /// Requests that run in it now.
    pub busy: u32,
    /// Whether it leaves and wants no new request.
    pub leaving: bool,
    /// Start of the executor's process; a higher one replaces a lower one.
    pub epoch: u64,
    /// Clock reading from the home host's last answer; absent in the first announcement.
    ///
    /// The lease runs from this reading, so a delayed announcement cannot extend it.
    #[serde(default, rename = "echo")]
    pub echoed_clock: Option<u64>,
    /// Ids of the requests that run in it now, from their `X-Tarragon-Request` header.
    ///
    /// With them the home frees the slot of a lost request as soon as the request has ended. An
    /// executor that does not keep them leaves the field out and is counted by `busy` alone.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub running: Option<Vec<Name>>,
}
