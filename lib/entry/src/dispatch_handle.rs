use std::sync::{
    Arc,
    atomic::{AtomicU64, Ordering},
    mpsc::Sender,
};

use tarragon_dispatch::Input;
use tarragon_names::Millis;

/// Access to the thread of the dispatcher.
#[derive(Clone, Debug)]
pub(crate) struct DispatchHandle {
    tx: Sender<Input>,
    leads_until: Arc<AtomicU64>,
}

impl DispatchHandle {
    pub(crate) fn new(tx: Sender<Input>) -> Self {
        Self {
            tx,
            leads_until: Arc::default(),
        }
    }

    /// Hands in an event; after the stop of the thread it has no effect.
    pub(crate) fn send(&self, input: Input) {
        let _stopped = self.tx.send(input);
    }

    /// Notes the time before which no other host can lead.
    pub(crate) fn set_leads_until(&self, until: Millis) {
        self.leads_until.store(until.0, Ordering::Release);
    }

    /// Tells whether this host leads and no other can lead at `now`.
    pub(crate) fn leads_at(&self, now: Millis) -> bool {
        now.0 < self.leads_until.load(Ordering::Acquire)
    }
}
