use tarragon_agreement::{MemberStatus, Members};
use tarragon_names::{HostName, MemberId, Term};

/// State of the replica group as this replica sees it.
#[derive(Clone, Debug)]
pub struct ReplicaStatus {
    /// Its identity.
    pub id: MemberId,
    /// Current term.
    pub term: Term,
    /// Host of the leader, if known.
    pub leader: Option<HostName>,
    /// Member list in force.
    pub members: Members,
    /// State of each member.
    pub member_status: Vec<MemberStatus>,
}
