use std::collections::BTreeMap;

use tarragon_names::{MemberId, Term};

use crate::{LagChange, ReplicationStatus, member_lag::MemberLag};

/// Finds the members that answer the leader but acknowledge no entries, such as a voter whose disk is
/// full.
///
/// A member lags once it has acknowledged nothing for ten seconds although entries were sent to it. It
/// has caught up once it holds what the leader's log held when the member last stood still. A silent
/// member, one that acknowledges some of the entries, and one to which the first snapshot is under way
/// do not begin to lag.
#[derive(Clone, Debug, Default)]
pub struct LagTracker {
    term: Term,
    members: BTreeMap<MemberId, MemberLag>,
}

impl LagTracker {
    /// Takes the state of the replication, to be called several times a second, and returns whose lag
    /// begins or ends. Without a status, when this replica does not lead, and in another term, all
    /// members are forgotten.
    pub fn observe(&mut self, status: Option<&ReplicationStatus>) -> Vec<LagChange> {
        let Some(status) = status else {
            *self = Self::default();
            return Vec::new();
        };
        if status.term != self.term {
            *self = Self {
                term: status.term,
                ..Self::default()
            };
        }
        let listed = &status.members;
        self.members
            .retain(|id, _| listed.iter().any(|member| member.id == *id));
        let mut changes = Vec::new();
        for member in listed {
            let lag = self.members.entry(member.id).or_default();
            if let Some(is_lagging) = lag.observe(member, status.last_index, status.at) {
                changes.push(LagChange {
                    id: member.id,
                    host: member.host.clone(),
                    role: member.role,
                    match_index: member.match_index,
                    last_index: status.last_index,
                    is_lagging,
                });
            }
        }
        changes
    }

    /// Returns the members that lag, in ascending order of identity.
    pub fn lagging(&self) -> impl Iterator<Item = MemberId> + '_ {
        let lagging = self.members.iter().filter(|(_, lag)| lag.is_lagging());
        lagging.map(|(id, _)| *id)
    }

    /// Returns the members that lag and have acknowledged nothing for the last ten seconds, in ascending
    /// order of identity. A member that is catching up is not among them.
    pub fn stalled(&self) -> impl Iterator<Item = MemberId> + '_ {
        let stalled = self.members.iter().filter(|(_, lag)| lag.is_stalled());
        stalled.map(|(id, _)| *id)
    }
}
