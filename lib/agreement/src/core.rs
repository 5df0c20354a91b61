use std::collections::BTreeMap;

use tarragon_names::{HostName, LogIndex, MemberId, Millis, Term};

use crate::{
    Action, Config, Entry, Payload, PeerMsg, Token, jitter::Jitter, log::Log, vote_state::VoteState,
};

/// State that a replica keeps in every role.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(crate) struct Core {
    pub(crate) cfg: Config,
    pub(crate) id: MemberId,
    pub(crate) now: Millis,
    pub(crate) log: Log,
    pub(crate) vote_state: VoteState,
    pub(crate) commit: LogIndex,
    /// Hosts from `Event::HostLearned`, used for members that are not in the member list.
    pub(crate) learned_hosts: BTreeMap<MemberId, HostName>,
    pub(crate) jitter: Jitter,
    /// Whether the local disk refuses writes, so that this replica can neither vote nor acknowledge.
    pub(crate) is_disk_full: bool,
    /// Actions of the current step.
    pub(crate) actions: Vec<Action>,
}

impl Core {
    pub(crate) fn term(&self) -> Term {
        self.vote_state.term
    }

    /// Returns the host of a member, or an empty name if the host is not known.
    pub(crate) fn host_of(&self, id: MemberId) -> HostName {
        let listed = self.log.members().by_id.get(&id).map(|m| &m.host);
        let host = listed.or_else(|| self.learned_hosts.get(&id));
        host.cloned().unwrap_or_default()
    }

    pub(crate) fn is_voter(&self) -> bool {
        self.log.members().is_voter(self.id)
    }

    /// Voters other than this replica.
    pub(crate) fn other_voters(&self) -> Vec<MemberId> {
        let voters = self.log.members().voters();
        voters.filter(|id| *id != self.id).collect()
    }

    pub(crate) fn election_timeout(&mut self) -> Millis {
        self.jitter
            .between(self.cfg.election_min, self.cfg.election_max)
    }

    /// Sends a message, or queues it until term and vote are synced.
    pub(crate) fn send(&mut self, to: MemberId, msg: PeerMsg) {
        if self.vote_state.is_synced() {
            self.send_now(to, msg);
        } else {
            self.vote_state.enqueue(to, msg);
        }
    }

    pub(crate) fn send_now(&mut self, to: MemberId, msg: PeerMsg) {
        let host = self.host_of(to);
        self.actions.push(Action::Send { to, host, msg });
    }

    /// Appends an entry to the log in memory. The caller emits `Action::Append` after the messages
    /// with the entry, so that followers write to disk at the same time as this replica.
    pub(crate) fn append_entry(&mut self, payload: Payload) -> Entry {
        let entry = Entry {
            term: self.term(),
            index: self.log.last_index().next(),
            payload,
        };
        self.log.push(entry.clone());
        entry
    }

    pub(crate) fn commit_to(&mut self, index: LogIndex) {
        let index = index.min(self.log.last_index());
        if index <= self.commit {
            return;
        }
        let entries = self.log.range(self.commit.next(), index);
        self.commit = index;
        self.actions.push(Action::Apply { entries });
    }

    pub(crate) fn refuse(&mut self, token: Token, leader: Option<MemberId>) {
        let leader = leader.map(|id| self.host_of(id));
        self.actions.push(Action::Refused { token, leader });
    }
}
