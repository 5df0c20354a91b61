use std::collections::{BTreeMap, BTreeSet};

use rand_chacha::{ChaCha8Rng, rand_core::Rng};
use tarragon_agreement::PeerMsg;
use tarragon_names::MemberId;

/// A message in transit.
#[derive(Clone, Debug)]
pub struct Packet {
    pub from: MemberId,
    pub to: MemberId,
    pub msg: PeerMsg,
}

/// A network that delays, reorders, duplicates and loses messages, and from which hosts can be cut
/// off.
#[derive(Debug)]
pub struct Network {
    pub loss_percent: u64,
    pub duplicate_percent: u64,
    /// Minimum and maximum delay of a message in milliseconds.
    pub delay_ms: (u64, u64),
    cut: BTreeSet<String>,
    sent: u64,
    queue: BTreeMap<(u64, u64), Packet>,
}

impl Default for Network {
    fn default() -> Self {
        Self {
            loss_percent: 0,
            duplicate_percent: 0,
            delay_ms: (3, 6),
            cut: BTreeSet::new(),
            sent: 0,
            queue: BTreeMap::new(),
        }
    }
}

impl Network {
    pub fn send(&mut self, now: u64, rng: &mut ChaCha8Rng, packet: &Packet) {
        let mut roll = |n: u64| rng.next_u64() % n;
        let copies = 1 + u64::from(roll(100) < self.duplicate_percent);
        for _ in 0..copies {
            if roll(100) >= self.loss_percent {
                let due = now + self.delay_ms.0 + roll(self.delay_ms.1 - self.delay_ms.0 + 1);
                self.sent += 1;
                self.queue.insert((due, self.sent), packet.clone());
            }
        }
    }

    /// Removes and returns the next message that is due.
    pub fn pop_due(&mut self, now: u64) -> Option<Packet> {
        let first = self.queue.first_entry()?;
        (first.key().0 <= now).then(|| first.remove())
    }

    pub fn cut(&mut self, host: &str) {
        self.cut.insert(host.to_owned());
    }

    pub fn heal(&mut self) {
        self.cut.clear();
    }

    /// Returns whether messages between two hosts arrive; two cut hosts are not connected either.
    pub fn connects(&self, a: &str, b: &str) -> bool {
        !self.cut.contains(a) && !self.cut.contains(b)
    }
}
