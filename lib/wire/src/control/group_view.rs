use serde::{Deserialize, Serialize};
use tarragon_names::{HostName, Revision, Term};

use super::MemberView;

/// State of the replica group and of the polling hosts.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct GroupView {
    /// The leader.
    pub leader: HostName,
    /// Its term.
    pub term: Term,
    /// The members.
    pub members: Vec<MemberView>,
    /// Revision that each host last polled with, and whether it polled lately.
    pub hosts: Vec<(HostName, Revision, bool)>,
}
