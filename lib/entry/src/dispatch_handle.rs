use std::sync::{
    Arc,
    atomic::{AtomicU64, Ordering},
    mpsc::Sender,
};

use tarragon_dispatch::Input;
use tarragon_names::{HostName, Millis};

use crate::worker_order::OrderResult;

/// An event for the thread of the dispatcher.
#[derive(Debug)]
pub(crate) enum DispatchEvent {
    Input(Input),
    /// Results of orders that a host delivered.
    Results {
        host: HostName,
        results: Vec<(u64, OrderResult)>,
    },
}

/// Sends inputs to the thread of the dispatcher and shares the time until which this host leads.
#[derive(Clone, Debug)]
pub(crate) struct DispatchHandle {
    tx: Sender<DispatchEvent>,
    leader_until: Arc<AtomicU64>,
}

impl DispatchHandle {
    pub(crate) fn new(tx: Sender<DispatchEvent>) -> Self {
        Self {
            tx,
            leader_until: Arc::default(),
        }
    }

    /// Queues an input; does nothing once the thread has stopped.
    pub(crate) fn send(&self, input: Input) {
        let _stopped = self.tx.send(DispatchEvent::Input(input));
    }

    /// Queues the results of orders that a host delivered.
    pub(crate) fn send_results(&self, host: HostName, results: Vec<(u64, OrderResult)>) {
        let _stopped = self.tx.send(DispatchEvent::Results { host, results });
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
