use std::collections::VecDeque;

use tarragon_names::{LogIndex, MemberId, Millis};

use crate::{Member, MemberProgress};

/// How a leader sends entries to a member.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub(crate) enum Mode {
    /// Sends empty messages to find the index up to which the logs match.
    Probe,
    /// Sends entries without waiting for the answers to earlier ones.
    Replicate,
    /// Waits for the answer to a snapshot that was sent at this time.
    Snapshot(Millis),
}

/// Replication progress of another member, as known to the leader.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(crate) struct Progress {
    pub(crate) mode: Mode,
    /// Next index to send to the member.
    pub(crate) next_index: LogIndex,
    /// Last index synced on the member that is known to match.
    pub(crate) match_index: LogIndex,
    /// Last index of each unanswered message with entries.
    pub(crate) in_flight: VecDeque<LogIndex>,
    /// Time at which the latest heartbeat round that the member answered was sent.
    pub(crate) acked_heartbeat_sent_at: Option<Millis>,
    /// Time of the last answer; before the first, the time at which the leader began to track the
    /// member.
    pub(crate) last_contact: Millis,
}

impl Progress {
    pub(crate) fn new(mode: Mode, next_index: LogIndex, now: Millis) -> Self {
        Self {
            mode,
            next_index,
            match_index: LogIndex(0),
            in_flight: VecDeque::new(),
            acked_heartbeat_sent_at: None,
            last_contact: now,
        }
    }

    /// Describes the progress of `member` at the time `now`.
    pub(crate) fn describe(&self, id: MemberId, member: &Member, now: Millis) -> MemberProgress {
        let snapshot_sent_at = match self.mode {
            Mode::Snapshot(sent_at) => Some(sent_at),
            Mode::Probe | Mode::Replicate => None,
        };
        MemberProgress {
            id,
            host: member.host.clone(),
            role: member.role,
            match_index: self.match_index,
            silent_for: now.since(self.last_contact),
            has_unacknowledged: snapshot_sent_at.is_some() || !self.in_flight.is_empty(),
            snapshot_sent_at,
        }
    }

    /// Processes an answer with a matching index. `base` is the index directly before the leader's
    /// first entry in memory.
    pub(crate) fn on_match(&mut self, index: LogIndex, base: LogIndex) {
        self.match_index = self.match_index.max(index);
        self.next_index = self.next_index.max(self.match_index.next());
        while self.in_flight.front().is_some_and(|last| *last <= index) {
            self.in_flight.pop_front();
        }
        let can_replicate = !matches!(self.mode, Mode::Snapshot(_)) || index >= base;
        if can_replicate {
            self.mode = Mode::Replicate;
        }
    }

    /// Processes an answer from a member whose log did not match; `hint` is the last index that may
    /// match.
    pub(crate) fn on_mismatch(&mut self, hint: LogIndex, base: LogIndex) {
        if matches!(self.mode, Mode::Snapshot(_)) && hint < base {
            return;
        }
        self.next_index = hint
            .next()
            .min(self.next_index)
            .max(self.match_index.next());
        self.mode = Mode::Probe;
        self.in_flight.clear();
    }
}
