use tarragon_agreement::Role;
use tarragon_names::MemberId;

use crate::{GroupState, MemberChange, next_change, stalled_replacement::replace_stalled};

/// Returns the next change that the group needs, or `None` if it needs none or none is safe.
///
/// `stalled` holds the members that the leader has found to take no entries for a time although they
/// answer. Such a learner is not promoted. Such a voter is replaced once no other change is due.
pub fn choose_change(group: &GroupState<'_>, stalled: &[MemberId]) -> Option<MemberChange> {
    let mut status = group.status.to_vec();
    status.retain(|member| member.role == Role::Voter || !stalled.contains(&member.id));
    let group = GroupState {
        status: &status,
        ..group.clone()
    };
    next_change(&group).or_else(|| replace_stalled(&group, stalled))
}
