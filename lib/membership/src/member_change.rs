use tarragon_agreement::{Members, Role};
use tarragon_names::MemberId;

/// A change that promotes one learner and removes at most one voter.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct MemberChange {
    /// Voter to remove from the member list; `None` if a voter is only added.
    pub remove: Option<MemberId>,
    /// Learner to make a voter.
    pub promote: MemberId,
}

impl MemberChange {
    /// Returns the member list after the change.
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
