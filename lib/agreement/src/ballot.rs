use std::collections::VecDeque;

use tarragon_names::{MemberId, Term};

use crate::PeerMsg;

/// Messages that wait for a sync; beyond it the oldest is dropped, as the network might.
const HELD_MAX: usize = 64;

/// Term and vote, and the messages that wait until both are on disk.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(crate) struct Ballot {
    pub(crate) term: Term,
    pub(crate) voted_for: Option<MemberId>,
    saved: bool,
    unsent: bool,
    held: VecDeque<(MemberId, PeerMsg)>,
}

impl Ballot {
    pub(crate) fn new(term: Term, voted_for: Option<MemberId>) -> Self {
        Self {
            term,
            voted_for,
            saved: true,
            unsent: false,
            held: VecDeque::new(),
        }
    }

    /// Moves to a higher term. Messages held for the old term are out of date.
    pub(crate) fn enter(&mut self, term: Term, voted_for: Option<MemberId>) {
        self.term = term;
        self.voted_for = voted_for;
        self.held.clear();
        self.changed();
    }

    pub(crate) fn vote(&mut self, candidate: MemberId) {
        if self.voted_for != Some(candidate) {
            self.voted_for = Some(candidate);
            self.changed();
        }
    }

    pub(crate) fn is_saved(&self) -> bool {
        self.saved
    }

    pub(crate) fn hold(&mut self, to: MemberId, msg: PeerMsg) {
        if self.held.len() == HELD_MAX {
            self.held.pop_front();
        }
        self.held.push_back((to, msg));
    }

    /// Term and vote to save, if they changed since the last call.
    pub(crate) fn take_unsent(&mut self) -> Option<(Term, Option<MemberId>)> {
        std::mem::take(&mut self.unsent).then_some((self.term, self.voted_for))
    }

    /// Messages that may go out because term and vote are synced.
    pub(crate) fn synced(
        &mut self,
        term: Term,
        voted_for: Option<MemberId>,
    ) -> Vec<(MemberId, PeerMsg)> {
        if (term, voted_for) != (self.term, self.voted_for) {
            return Vec::new();
        }
        self.saved = true;
        self.held.drain(..).collect()
    }

    fn changed(&mut self) {
        self.saved = false;
        self.unsent = true;
    }
}
