use tarragon_names::{LogIndex, Millis, Term};

use crate::MemberProgress;

/// State of the replication at a leader.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ReplicationStatus {
    /// Term of the leadership.
    pub term: Term,
    /// Time of this status on the leader's clock.
    pub at: Millis,
    /// Last index of the leader's log.
    pub last_index: LogIndex,
    /// The other members, in ascending order of identity.
    pub members: Vec<MemberProgress>,
}
