use std::collections::VecDeque;

use tarragon_names::{LogIndex, MemberId, Millis};

use crate::{Member, Members, Role, Token};

/// A member change that a leader is making in single-server steps.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(crate) struct PendingMemberChange {
    pub(crate) token: Token,
    /// Learner to be promoted, and the commit index at the time of the request, which the learner
    /// must reach before the first step.
    pub(crate) promotion: Option<(MemberId, LogIndex)>,
    /// Time by which the first step must have started, or the change is refused.
    pub(crate) catch_up_deadline: Millis,
    /// Member lists still to be appended.
    pub(crate) remaining_steps: VecDeque<Members>,
    /// Index of the current step's entry; `None` before the first step.
    pub(crate) in_flight: Option<LogIndex>,
}

impl PendingMemberChange {
    /// Returns a change from `current` to `target`, or `None` if it is not permitted.
    ///
    /// Each step changes one voter, because the majorities of lists that differ by one voter
    /// always share a member. The removal precedes the promotion, so that the majority never grows
    /// while a dead voter is replaced.
    pub(crate) fn plan(
        token: Token,
        leader: MemberId,
        current: &Members,
        target: Members,
        commit: LogIndex,
        catch_up_deadline: Millis,
    ) -> Option<Self> {
        let promoted: Vec<_> = target
            .voters()
            .filter(|id| !current.is_voter(*id))
            .collect();
        let removed: Vec<_> = current
            .voters()
            .filter(|id| !target.is_voter(*id))
            .collect();
        let are_promoted_listed = promoted.iter().all(|id| current.by_id.contains_key(id));
        let are_hosts_unchanged = target.by_id.iter().all(|(id, member)| {
            let before = current.by_id.get(id);
            before.is_none_or(|before| before.host == member.host)
        });
        if promoted.len() > 1
            || removed.len() > 1
            || !are_promoted_listed
            || !are_hosts_unchanged
            || !target.is_voter(leader)
        {
            return None;
        }
        let mut steps = VecDeque::new();
        if let ([promoted], [_]) = (promoted.as_slice(), removed.as_slice()) {
            let mut first = target.clone();
            if let Some(member) = first.by_id.get_mut(promoted) {
                member.role = Role::Learner;
            }
            steps.push_back(first);
        }
        steps.push_back(target);
        Some(Self {
            token,
            promotion: promoted.first().map(|id| (*id, commit)),
            catch_up_deadline,
            remaining_steps: steps,
            in_flight: None,
        })
    }

    /// Returns the member list with a new learner. An earlier learner on the same host is removed:
    /// a new identity means that the host lost its disk.
    pub(crate) fn with_learner(current: &Members, id: MemberId, learner: Member) -> Members {
        let mut target = current.clone();
        target
            .by_id
            .retain(|_, member| member.role == Role::Voter || member.host != learner.host);
        target.by_id.entry(id).or_insert(learner);
        target
    }
}
