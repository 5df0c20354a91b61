use serde::{Deserialize, Serialize};
use tarragon_names::{HostName, Revision, Term};

use super::MemberView;

/// State of the replica group and of the hosts that poll the leader.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct GroupView {
    /// Host of the leader, which answers the call.
    pub leader: HostName,
    /// Term of the leader.
    pub term: Term,
    /// State of each member.
    pub members: Vec<MemberView>,
    /// For each host the revision of its last poll, and whether that poll is recent.
    pub hosts: Vec<(HostName, Revision, bool)>,
}
