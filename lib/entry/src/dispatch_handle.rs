use std::sync::{
    Arc,
    atomic::{AtomicU64, Ordering},
    mpsc::Sender,
};

use tarragon_dispatch::Input;
use tarragon_names::Millis;

/// Sends inputs to the thread of the dispatcher and shares the time until which this host leads.
#[derive(Clone, Debug)]
pub(crate) struct DispatchHandle {
    tx: Sender<Input>,
    leader_until: Arc<AtomicU64>,
}

impl DispatchHandle {
    pub(crate) fn new(tx: Sender<Input>) -> Self {
        Self {
            tx,
            leader_until: Arc::default(),
        }
    }

    /// Queues an input; does nothing once the thread has stopped.
    pub(crate) fn send(&self, input: Input) {
        let _stopped = self.tx.send(input);
    }

    /// Sets the time before which no other host can lead.
    pub(crate) fn set_leader_until(&self, until: Millis) {
        self.leader_until.store(until.0, Ordering::Release);
    }

    /// Returns whether this host leads and no other host can lead at `now`.
    pub(crate) fn is_leader_at(&self, now: Millis) -> bool {
        now.0 < self.leader_until.load(Ordering::Acquire)
    }
}
