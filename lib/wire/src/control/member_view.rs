use serde::{Deserialize, Serialize};
use tarragon_names::{HostName, LogIndex, MemberId};

/// State of a member as known to the leader.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct MemberView {
    /// Host of the member.
    pub host: HostName,
    /// Identity of the member.
    pub member: MemberId,
    /// Whether the member is a voter; otherwise it is a learner.
    pub is_voter: bool,
    /// Last log index synced on the member; `None` if not known.
    pub synced_index: Option<LogIndex>,
    /// Whether the member answered the leader recently; always true for the leader itself.
    pub is_reachable: bool,
}
