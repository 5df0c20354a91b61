use crate::Urgency;

/// Descriptors kept for files, logs and the runtime of a process.
const PROCESS_DESCRIPTORS: usize = 200;

/// Share of the other descriptors that calls to workers may use, in percent. The rest is for
/// callers, heartbeats of workers and links to other hosts.
const WORKER_PERCENT: usize = 50;

/// Share of the open calls that stops and less urgent orders may use, in percent; the rest is for
/// polls.
const STOP_PERCENT: usize = 75;

/// Share of the open calls that starts and less urgent orders may use, in percent.
const START_PERCENT: usize = 50;

/// Calls to one worker that may be open at the same time, besides its poll.
const WORKER_CALLS: usize = 8;

/// Orders that may wait per open call.
const QUEUED_PER_CALL: usize = 4;

/// Limits on the calls to workers that one host has open or waiting.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct BudgetLimits {
    /// Calls that may be open at the same time.
    pub max_open: usize,
    /// Calls to one worker that may be open at the same time, besides its poll.
    pub max_open_per_worker: usize,
    /// Orders that may wait for an open call to end.
    pub max_queued: usize,
}

impl BudgetLimits {
    /// Returns the limits of a process that may open `max_descriptors` files and connections.
    pub fn from_descriptors(max_descriptors: usize) -> Self {
        let available = max_descriptors.saturating_sub(PROCESS_DESCRIPTORS);
        let max_open = (available * WORKER_PERCENT / 100).max(WORKER_CALLS);
        Self {
            max_open,
            max_open_per_worker: WORKER_CALLS,
            max_queued: max_open * QUEUED_PER_CALL,
        }
    }

    /// Returns how many calls of this urgency and of all less urgent kinds may be open.
    pub fn max_open_from(&self, urgency: Urgency) -> usize {
        match urgency {
            Urgency::Poll => self.max_open,
            Urgency::Stop => self.max_open * STOP_PERCENT / 100,
            Urgency::Start | Urgency::Throttle => self.max_open * START_PERCENT / 100,
        }
    }
}
