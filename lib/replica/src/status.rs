use tarragon_agreement::{MemberStatus, Members};
use tarragon_names::{HostName, MemberId, Term};

/// State of the replica group as known to this replica.
#[derive(Clone, Debug)]
pub struct ReplicaStatus {
    /// Identity of this replica.
    pub id: MemberId,
    /// Current term.
    pub term: Term,
    /// Host of the leader, if known.
    pub leader: Option<HostName>,
    /// Member list in force at this replica.
    pub members: Members,
    /// Replication state of each member; only the leader knows the others.
    pub member_status: Vec<MemberStatus>,
    /// Members that answer but have acknowledged no entries for a time; empty if this replica is not the
    /// leader.
    pub stalled: Vec<MemberId>,
}
