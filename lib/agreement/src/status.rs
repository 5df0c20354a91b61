use derive_more::Display;
use tarragon_names::{HostName, LogIndex, MemberId, Millis};

use crate::Role;

/// What a replica does at the moment.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, PartialEq)]
pub enum ReplicaRole {
    /// Follows a leader, or waits for one.
    #[display("follower")]
    Follower,
    /// Stands for election.
    #[display("candidate")]
    Candidate,
    /// Leads.
    #[display("leader")]
    Leader,
}

/// State of a member as seen by this replica.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MemberStatus {
    /// The member.
    pub id: MemberId,
    /// Its host.
    pub host: HostName,
    /// Its role in the group.
    pub role: Role,
    /// Last index synced there that is known to match; known at the leader only, but for the own.
    pub matched: Option<LogIndex>,
    /// Time since its last answer; known at the leader only.
    pub silent: Option<Millis>,
}
