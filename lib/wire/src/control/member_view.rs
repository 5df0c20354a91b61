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
    pub is_voter: bool,
    /// Last index that it holds durably, if known.
    pub synced_index: Option<LogIndex>,
    /// Whether it answered lately.
    pub is_reachable: bool,
}
