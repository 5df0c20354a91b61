use std::collections::VecDeque;

use tarragon_names::{LogIndex, Millis};

/// How entries are sent to a member.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub(crate) enum Mode {
    /// Empty messages look for the point where the logs match.
    Probe,
    /// Entries are sent ahead of the answers.
    Replicate,
    /// A snapshot was handed out at this time.
    Snapshot(Millis),
}

/// What a leader knows of another member.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(crate) struct Progress {
    pub(crate) mode: Mode,
    /// Next index to send.
    pub(crate) next: LogIndex,
    /// Last index synced on the member that is known to match.
    pub(crate) matched: LogIndex,
    /// Last index of each unanswered message with entries.
    pub(crate) in_flight: VecDeque<LogIndex>,
    /// Sending time of the latest heartbeat round that the member answered.
    pub(crate) acked_sent: Option<Millis>,
    /// Time of the last answer, or of the start of the term.
    pub(crate) heard: Millis,
}

impl Progress {
    pub(crate) fn new(mode: Mode, next: LogIndex, now: Millis) -> Self {
        Self {
            mode,
            next,
            matched: LogIndex(0),
            in_flight: VecDeque::new(),
            acked_sent: None,
            heard: now,
        }
    }

    /// Takes in an answer with a matching index.
    pub(crate) fn match_up_to(&mut self, index: LogIndex, base: LogIndex) {
        self.matched = self.matched.max(index);
        self.next = self.next.max(self.matched.next());
        while self.in_flight.front().is_some_and(|last| *last <= index) {
            self.in_flight.pop_front();
        }
        let servable = !matches!(self.mode, Mode::Snapshot(_)) || index >= base;
        if servable {
            self.mode = Mode::Replicate;
        }
    }

    /// Takes in an answer from a member whose log did not match; `hint` is where to try next.
    pub(crate) fn back_off(&mut self, hint: LogIndex, base: LogIndex) {
        if matches!(self.mode, Mode::Snapshot(_)) && hint < base {
            return;
        }
        self.next = hint.next().min(self.next).max(self.matched.next());
        self.mode = Mode::Probe;
        self.in_flight.clear();
    }
}
