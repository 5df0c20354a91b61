use std::collections::VecDeque;

use tarragon_names::{LogIndex, MemberId, Millis};

use crate::{Member, Members, Role, Token};

/// A member change that a leader carries out in single-server steps.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(crate) struct Change {
    pub(crate) token: Token,
    /// Learner to be promoted, and the commit index at the time of the request.
    pub(crate) promote: Option<(MemberId, LogIndex)>,
    /// Time at which the learner must have caught up.
    pub(crate) deadline: Millis,
    /// Member lists still to be appended.
    pub(crate) steps: VecDeque<Members>,
    /// Entry of the current step.
    pub(crate) in_flight: Option<LogIndex>,
}

impl Change {
    /// A change from `current` to `target`, or `None` if it is not permitted.
    ///
    /// Majorities of lists that differ by one voter always share a member. A removal comes before
    /// a promotion, so that the majority never grows while a dead voter is replaced.
    pub(crate) fn plan(
        token: Token,
        leader: MemberId,
        current: &Members,
        target: Members,
        commit: LogIndex,
        deadline: Millis,
    ) -> Option<Self> {
        let promoted: Vec<_> = target
            .voters()
            .filter(|id| !current.is_voter(*id))
            .collect();
        let removed: Vec<_> = current
            .voters()
            .filter(|id| !target.is_voter(*id))
            .collect();
        let known = promoted.iter().all(|id| current.by_id.contains_key(id));
        let same_hosts = target.by_id.iter().all(|(id, member)| {
            let before = current.by_id.get(id);
            before.is_none_or(|before| before.host == member.host)
        });
        if promoted.len() > 1
            || removed.len() > 1
            || !known
            || !same_hosts
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
            promote: promoted.first().map(|id| (*id, commit)),
            deadline,
            steps,
            in_flight: None,
        })
    }

    /// The list with a new learner. An earlier learner on the same host has lost its disk.
    pub(crate) fn with_learner(current: &Members, id: MemberId, learner: Member) -> Members {
        let mut target = current.clone();
        target
            .by_id
            .retain(|_, member| member.role == Role::Voter || member.host != learner.host);
        target.by_id.entry(id).or_insert(learner);
        target
    }
}
