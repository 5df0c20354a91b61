use bytes::Bytes;
use tarragon_names::{LogIndex, MemberId, Term};

use super::{Replica, RoleState};
use crate::{Action, Entry, PeerMsg, SnapshotMeta};

/// Messages of a leader to a replica that follows it.
impl Replica {
    /// Processes the term of a leader's message and records the contact; returns false if the
    /// message has to be ignored.
    pub(super) fn accept_leader(&mut self, from: MemberId, term: Term, round: u64) -> bool {
        if term < self.term() {
            let msg = PeerMsg::AppendReply {
                term: self.term(),
                matched: false,
                index: LogIndex(0),
                round: 0,
            };
            self.core.send(from, msg);
            return false;
        }
        if term > self.term() {
            self.start_term(term);
        }
        if matches!(self.role_state, RoleState::Leader(_)) {
            return false;
        }
        if self.leader != Some(from) {
            self.become_follower(Some(from));
            self.leader_round = 0;
            // The log of every later leader contains the committed entries.
            self.verified_index = self.core.commit;
        }
        self.record_leader_contact();
        self.leader_round = self.leader_round.max(round);
        true
    }

    pub(super) fn on_append(
        &mut self,
        from: MemberId,
        prev: LogIndex,
        prev_term: Term,
        mut entries: Vec<Entry>,
        commit: LogIndex,
    ) {
        let log = &self.core.log;
        let base = log.base_index();
        let matches_at_prev = prev < base || log.term_at(prev) == Some(prev_term);
        if self.core.is_disk_full && !(matches_at_prev && entries.is_empty()) {
            self.decline(commit);
            return;
        }
        if (prev.0 + 1..).zip(&entries).any(|(at, e)| e.index.0 != at) {
            return;
        }
        if !matches_at_prev {
            let hint = self.match_hint(prev, prev_term);
            self.reply_append(from, false, hint);
            return;
        }
        let end = LogIndex(prev.0 + entries.len() as u64);
        entries.retain(|e| e.index > base && log.term_at(e.index) != Some(e.term));
        self.verified_index = self.verified_index.max(end);
        if entries.is_empty() {
            self.acknowledge();
        } else {
            self.append(entries);
        }
        self.core.commit_to(commit.min(self.verified_index));
    }

    /// Answers a message whose entries are not taken because the disk is full, so that what waits for
    /// room stays bounded.
    ///
    /// The answer repeats what is synced, even if the logs do not match: after a mismatch the leader
    /// would send the same entries again with each heartbeat.
    fn decline(&mut self, commit: LogIndex) {
        self.acknowledge();
        self.core.commit_to(commit.min(self.verified_index));
    }

    fn append(&mut self, entries: Vec<Entry>) {
        let first = entries[0].index;
        // Continuing would silently lose a committed entry.
        assert!(
            first > self.core.commit,
            "the leader sent a conflicting entry for committed index {first}"
        );
        let has_conflict = first <= self.core.log.last_index();
        if has_conflict {
            self.core.log.truncate_from(first);
        }
        for entry in &entries {
            self.core.log.push(entry.clone());
        }
        self.core.actions.push(Action::Append {
            truncate_from: has_conflict.then_some(first),
            entries,
        });
    }

    /// Returns the last index at which the leader's log may match; skips entries of later terms.
    fn match_hint(&self, prev: LogIndex, prev_term: Term) -> LogIndex {
        let log = &self.core.log;
        let mut hint = LogIndex(prev.0.saturating_sub(1)).min(log.last_index());
        while hint > self.core.commit && log.term_at(hint).is_some_and(|t| t > prev_term) {
            hint = LogIndex(hint.0 - 1);
        }
        hint
    }

    pub(super) fn on_snapshot(&mut self, from: MemberId, meta: SnapshotMeta, state: Bytes) {
        if meta.index <= self.core.commit {
            self.reply_append(from, true, self.synced_match_index());
            return;
        }
        if self.core.log.term_at(meta.index) == Some(meta.term) {
            self.verified_index = self.verified_index.max(meta.index);
            self.core.commit_to(meta.index);
            self.acknowledge();
            return;
        }
        if self.core.is_disk_full {
            self.acknowledge();
            return;
        }
        self.core
            .log
            .reset_to_snapshot(meta.clone(), self.core.commit);
        self.core.commit = meta.index;
        self.verified_index = self.verified_index.max(meta.index);
        self.core
            .actions
            .push(Action::InstallSnapshot { meta, state });
    }

    pub(super) fn acknowledge(&mut self) {
        if let Some(leader) = self.leader {
            self.reply_append(leader, true, self.synced_match_index());
        }
    }

    /// Returns the last locally synced index that is known to match the leader's log.
    fn synced_match_index(&self) -> LogIndex {
        self.core.log.synced().min(self.verified_index)
    }

    pub(super) fn reply_append(&mut self, to: MemberId, matched: bool, index: LogIndex) {
        let msg = PeerMsg::AppendReply {
            term: self.term(),
            matched,
            index,
            round: self.leader_round,
        };
        self.core.send(to, msg);
    }
}
