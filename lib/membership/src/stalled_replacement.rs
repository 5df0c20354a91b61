use tarragon_agreement::{MemberStatus, Role};
use tarragon_names::{MemberId, Millis};

use crate::{
    GroupState, MemberChange, choose_replacement,
    replacement::{answers, is_up_to_date, newest_match_index},
};

/// Returns the replacement of a voter that answers but takes no entries, such as one with a full disk;
/// `None` if no voter of `stalled` can be replaced safely. The learners of `group` are not stalled.
///
/// `stalled` holds the members that the leader has found to take no entries for a time; one that takes
/// some again is kept. The voters that answer, are up to date and not stalled must be a majority of the
/// present voters, so that they can commit the change and go on if it ends halfway. A replaced voter
/// returns as a learner, and as such is promoted only if another voter is lost.
pub(crate) fn replace_stalled(
    group: &GroupState<'_>,
    stalled: &[MemberId],
) -> Option<MemberChange> {
    let newest = newest_match_index(group.status)?;
    let is_stalled = |member: &MemberStatus| stalled.contains(&member.id);
    let voters = || group.status.iter().filter(|m| m.role == Role::Voter);
    let lost = voters().find(|m| is_stalled(m) && answers(m))?.id;
    let can_commit = |m: &&MemberStatus| !is_stalled(m) && answers(m) && is_up_to_date(m, newest);
    if voters().filter(can_commit).count() <= voters().count() / 2 {
        return None;
    }
    let mut status = group.status.to_vec();
    for member in &mut status {
        if member.id == lost {
            member.silent_for = Some(Millis(u64::MAX));
        }
    }
    let (lost, learner) = choose_replacement(&status, group.domains, group.replace_after)?;
    Some(MemberChange {
        remove: Some(lost),
        promote: learner,
    })
}
