use derive_more::Display;
use tarragon_names::{HostName, LogIndex, MemberId, Millis};

use crate::Role;

/// Current Raft role of a replica.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, PartialEq)]
pub enum ReplicaRole {
    /// Follows a leader, or waits for one until the election timeout.
    #[display("follower")]
    Follower,
    /// Requests votes or pre-votes.
    #[display("candidate")]
    Candidate,
    /// Won the election of the current term; its first entry may not have committed yet.
    #[display("leader")]
    Leader,
}

/// State of a listed member, as known to this replica.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MemberStatus {
    /// Identity in the member list.
    pub id: MemberId,
    /// Host in the member list.
    pub host: HostName,
    /// Role in the member list.
    pub role: Role,
    /// Last index synced on the member that is known to match. `None` for other members if this
    /// replica is not the leader; for itself, the last synced index.
    pub match_index: Option<LogIndex>,
    /// Time since the member's last answer; `None` for the replica itself, and for all members if
    /// this replica is not the leader.
    pub silent_for: Option<Millis>,
}
