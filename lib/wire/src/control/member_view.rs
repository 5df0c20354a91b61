use serde::{Deserialize, Serialize};
use tarragon_names::{HostName, LogIndex, MemberId};

/// State of a replica as the leader knows it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct MemberView {
    /// Its host.
    pub host: HostName,
    /// Its identity.
    pub member: MemberId,
    /// Whether it votes.
    pub voter: bool,
    /// Last index that it holds durably, if known.
    pub synced: Option<LogIndex>,
    /// Whether it answered lately.
    pub reachable: bool,
}
