use tarragon_agreement::{Members, Role};
use tarragon_names::MemberId;

/// A change of one voter.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct MemberChange {
    /// Voter that is taken off the list.
    pub remove: Option<MemberId>,
    /// Learner that becomes a voter.
    pub promote: MemberId,
}

impl MemberChange {
    /// The member list after the change.
    pub fn applied_to(&self, members: &Members) -> Members {
        let mut target = members.clone();
        if let Some(remove) = &self.remove {
            target.by_id.remove(remove);
        }
        if let Some(member) = target.by_id.get_mut(&self.promote) {
            member.role = Role::Voter;
        }
        target
    }
}
