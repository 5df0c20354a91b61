use std::collections::{BTreeMap, BTreeSet};

use rand_chacha::{ChaCha8Rng, rand_core::Rng};
use tarragon_agreement::PeerMsg;
use tarragon_names::MemberId;

/// A message on its way.
#[derive(Clone, Debug)]
pub struct Packet {
    pub from: MemberId,
    pub to: MemberId,
    pub msg: PeerMsg,
}

/// A network that delays, reorders, repeats and loses messages, and that can be cut.
#[derive(Debug)]
pub struct Network {
    pub loss_percent: u64,
    pub repeat_percent: u64,
    pub delay: (u64, u64),
    cut: BTreeSet<String>,
    sent: u64,
    queue: BTreeMap<(u64, u64), Packet>,
}

impl Default for Network {
    fn default() -> Self {
        Self {
            loss_percent: 0,
            repeat_percent: 0,
            delay: (3, 6),
            cut: BTreeSet::new(),
            sent: 0,
            queue: BTreeMap::new(),
        }
    }
}

impl Network {
    pub fn send(&mut self, now: u64, rng: &mut ChaCha8Rng, packet: &Packet) {
        let mut roll = |n: u64| rng.next_u64() % n;
        let copies = 1 + u64::from(roll(100) < self.repeat_percent);
        for _ in 0..copies {
            if roll(100) >= self.loss_percent {
                let due = now + self.delay.0 + roll(self.delay.1 - self.delay.0 + 1);
                self.sent += 1;
                self.queue.insert((due, self.sent), packet.clone());
            }
        }
    }

    /// Next message that is due.
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

    /// Messages between two cut hosts are lost as well.
    pub fn connects(&self, a: &str, b: &str) -> bool {
        !self.cut.contains(a) && !self.cut.contains(b)
    }
}
