use std::collections::VecDeque;

use tarragon_names::Millis;

/// Number of rounds whose sending time is kept. With a heartbeat every 150 ms the kept rounds cover
/// 9 s, longer than any lease.
const MAX_KEPT_ROUNDS: usize = 64;

/// Sending times of the latest heartbeat rounds.
#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
pub(crate) struct HeartbeatRounds {
    current: u64,
    sent_times: VecDeque<Millis>,
}

impl HeartbeatRounds {
    pub(crate) fn current(&self) -> u64 {
        self.current
    }

    pub(crate) fn start(&mut self, now: Millis) {
        self.current += 1;
        self.sent_times.push_back(now);
        if self.sent_times.len() > MAX_KEPT_ROUNDS {
            self.sent_times.pop_front();
        }
    }

    pub(crate) fn sent_at(&self, round: u64) -> Option<Millis> {
        let age = self.current.checked_sub(round)? as usize;
        let position = self.sent_times.len().checked_sub(age + 1)?;
        self.sent_times.get(position).copied()
    }
}
