use tarragon_names::{HostName, LogIndex, MemberId, Millis};

use crate::Role;

/// What the leader knows of the replication to another member.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MemberProgress {
    /// Identity in the member list.
    pub id: MemberId,
    /// Host in the member list.
    pub host: HostName,
    /// Role in the member list.
    pub role: Role,
    /// Last index synced on the member that is known to match.
    pub match_index: LogIndex,
    /// Time since the member's last answer.
    pub silent_for: Millis,
    /// Whether entries or a snapshot were sent that the member has not acknowledged.
    pub has_unacknowledged: bool,
    /// Time at which the snapshot was sent that the member has not acknowledged.
    pub snapshot_sent_at: Option<Millis>,
}
