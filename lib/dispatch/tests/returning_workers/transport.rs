use std::collections::BTreeMap;

use tarragon_dispatch::{Input, PollCall, StartOrder, StopOrder};

/// Something that happens at a later time.
pub enum Event {
    PollArrives {
        call: PollCall,
        times_out_at: u64,
    },
    StartArrives {
        order: StartOrder,
        answer: Answer,
    },
    StopArrives {
        order: StopOrder,
        answer: Answer,
    },
    /// An answer, a timeout or a refused proposal reaches the leader of a term.
    LeaderInput {
        term: u64,
        input: Box<Input>,
    },
}

/// What becomes of the answer to an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Answer {
    /// It is sent, and is lost only if the worker is cut off.
    Sent { times_out_at: u64 },
    /// It is lost or comes too late; the leader counts the order as unanswered.
    Lost,
}

/// Events in the order of their times.
#[derive(Default)]
pub struct Transport {
    events: BTreeMap<(u64, u64), Event>,
    last_number: u64,
}

impl Transport {
    pub fn push(&mut self, at: u64, event: Event) {
        self.last_number += 1;
        self.events.insert((at, self.last_number), event);
    }

    /// Takes the next event that is due at `now`.
    pub fn pop(&mut self, now: u64) -> Option<Event> {
        let entry = self.events.first_entry()?;
        (entry.key().0 <= now).then(|| entry.remove())
    }
}
