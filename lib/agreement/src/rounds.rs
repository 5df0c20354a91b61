use std::collections::VecDeque;

use tarragon_names::Millis;

/// Rounds remembered. At one heartbeat every 150 ms this is 9 s, longer than any lease.
const ROUNDS_KEPT: usize = 64;

/// Sending times of the last heartbeat rounds.
#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
pub(crate) struct Rounds {
    current: u64,
    sent: VecDeque<Millis>,
}

impl Rounds {
    pub(crate) fn current(&self) -> u64 {
        self.current
    }

    pub(crate) fn begin(&mut self, now: Millis) {
        self.current += 1;
        self.sent.push_back(now);
        if self.sent.len() > ROUNDS_KEPT {
            self.sent.pop_front();
        }
    }

    pub(crate) fn sent_at(&self, round: u64) -> Option<Millis> {
        let age = self.current.checked_sub(round)? as usize;
        let position = self.sent.len().checked_sub(age + 1)?;
        self.sent.get(position).copied()
    }
}
