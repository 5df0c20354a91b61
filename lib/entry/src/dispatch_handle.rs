use std::sync::{Arc, mpsc::Sender};

use parking_lot::Mutex;
use tarragon_dispatch::Input;
use tarragon_names::{HostName, Millis};
use tarragon_replica::LeaderLease;

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

/// Sends inputs to the thread of the dispatcher and shares the lease of this host as the leader.
#[derive(Clone, Debug)]
pub(crate) struct DispatchHandle {
    tx: Sender<DispatchEvent>,
    lease: Arc<Mutex<Option<LeaderLease>>>,
}

impl DispatchHandle {
    pub(crate) fn new(tx: Sender<DispatchEvent>) -> Self {
        Self {
            tx,
            lease: Arc::default(),
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

    /// Replaces the lease; `None` if this host does not lead.
    pub(crate) fn set_lease(&self, lease: Option<LeaderLease>) {
        *self.lease.lock() = lease;
    }

    /// Returns the lease if this host leads and no other host can lead at `now`.
    pub(crate) fn lease_at(&self, now: Millis) -> Option<LeaderLease> {
        self.lease.lock().filter(|lease| lease.is_valid_at(now))
    }
}
