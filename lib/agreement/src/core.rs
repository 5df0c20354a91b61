use std::collections::BTreeMap;

use tarragon_names::{HostName, LogIndex, MemberId, Millis, Term};

use crate::{
    Action, Config, Entry, Payload, PeerMsg, Token, ballot::Ballot, jitter::Jitter, log::Log,
};

/// State of a replica that does not depend on whether it leads.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(crate) struct Core {
    pub(crate) cfg: Config,
    pub(crate) id: MemberId,
    pub(crate) now: Millis,
    pub(crate) log: Log,
    pub(crate) ballot: Ballot,
    pub(crate) commit: LogIndex,
    pub(crate) contacts: BTreeMap<MemberId, HostName>,
    pub(crate) jitter: Jitter,
    pub(crate) out: Vec<Action>,
}

impl Core {
    pub(crate) fn term(&self) -> Term {
        self.ballot.term
    }

    /// Host of a member, or an empty name if it is not known.
    pub(crate) fn host_of(&self, id: MemberId) -> HostName {
        let listed = self.log.members().by_id.get(&id).map(|m| &m.host);
        let host = listed.or_else(|| self.contacts.get(&id));
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

    /// Sends a message, or holds it back until term and vote are synced.
    pub(crate) fn send(&mut self, to: MemberId, msg: PeerMsg) {
        if self.ballot.is_saved() {
            self.send_now(to, msg);
        } else {
            self.ballot.hold(to, msg);
        }
    }

    pub(crate) fn send_now(&mut self, to: MemberId, msg: PeerMsg) {
        let host = self.host_of(to);
        self.out.push(Action::Send { to, host, msg });
    }

    /// Creates an entry at the end of the log. The caller emits `Action::Append` for it, after the
    /// messages that carry it, so that followers write while the own disk does.
    pub(crate) fn create(&mut self, payload: Payload) -> Entry {
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
        self.out.push(Action::Apply { entries });
    }

    pub(crate) fn refuse(&mut self, token: Token, leader: Option<MemberId>) {
        let leader = leader.map(|id| self.host_of(id));
        self.out.push(Action::Refused { token, leader });
    }
}
