use tarragon_names::{HostName, LogIndex, MemberId};

use crate::Role;

/// Begin or end of the lag of a member that answers.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LagChange {
    /// Identity of the member.
    pub id: MemberId,
    /// Host of the member.
    pub host: HostName,
    /// Role of the member.
    pub role: Role,
    /// Last index that the member is known to hold.
    pub match_index: LogIndex,
    /// Last index of the leader's log.
    pub last_index: LogIndex,
    /// Whether the lag begins; otherwise the member has caught up.
    pub is_lagging: bool,
}
