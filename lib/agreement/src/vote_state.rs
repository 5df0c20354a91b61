use std::collections::VecDeque;

use tarragon_names::{MemberId, Term};

use crate::PeerMsg;

/// Maximum number of messages queued for a sync. A further message replaces the oldest one, which
/// the protocol tolerates like a loss in the network.
const MAX_QUEUED_MESSAGES: usize = 64;

/// Term and vote, and the messages queued until both are on disk.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(crate) struct VoteState {
    pub(crate) term: Term,
    pub(crate) voted_for: Option<MemberId>,
    is_synced: bool,
    /// Whether term or vote changed since the last `Action::SaveVote`.
    is_save_due: bool,
    queued: VecDeque<(MemberId, PeerMsg)>,
}

impl VoteState {
    pub(crate) fn new(term: Term, voted_for: Option<MemberId>) -> Self {
        Self {
            term,
            voted_for,
            is_synced: true,
            is_save_due: false,
            queued: VecDeque::new(),
        }
    }

    /// Moves to a higher term. Queued messages belong to the old term and are dropped.
    pub(crate) fn start_term(&mut self, term: Term, voted_for: Option<MemberId>) {
        self.term = term;
        self.voted_for = voted_for;
        self.queued.clear();
        self.mark_changed();
    }

    pub(crate) fn vote(&mut self, candidate: MemberId) {
        if self.voted_for != Some(candidate) {
            self.voted_for = Some(candidate);
            self.mark_changed();
        }
    }

    pub(crate) fn is_synced(&self) -> bool {
        self.is_synced
    }

    pub(crate) fn enqueue(&mut self, to: MemberId, msg: PeerMsg) {
        if self.queued.len() == MAX_QUEUED_MESSAGES {
            self.queued.pop_front();
        }
        self.queued.push_back((to, msg));
    }

    /// Returns term and vote if they changed since the last call and have to be saved.
    pub(crate) fn take_due_save(&mut self) -> Option<(Term, Option<MemberId>)> {
        std::mem::take(&mut self.is_save_due).then_some((self.term, self.voted_for))
    }

    /// Records a sync; returns the queued messages if this term and vote are still current.
    pub(crate) fn mark_synced(
        &mut self,
        term: Term,
        voted_for: Option<MemberId>,
    ) -> Vec<(MemberId, PeerMsg)> {
        if (term, voted_for) != (self.term, self.voted_for) {
            return Vec::new();
        }
        self.is_synced = true;
        self.queued.drain(..).collect()
    }

    fn mark_changed(&mut self) {
        self.is_synced = false;
        self.is_save_due = true;
    }
}
