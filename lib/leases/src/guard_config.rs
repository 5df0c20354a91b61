use tarragon_names::{DomainName, Millis, RackName, Resources, WorkerName};

use crate::WORKER_HEARTBEAT_INTERVAL;

/// What a worker says of itself.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct GuardConfig {
    /// The worker.
    pub worker: WorkerName,
    /// Its failure domain.
    pub domain: DomainName,
    /// Its rack.
    pub rack: RackName,
    /// All that it offers.
    pub capacity: Resources,
    /// Time between two heartbeats.
    pub heartbeat_interval: Millis,
}

impl GuardConfig {
    /// A worker with the usual heartbeat.
    pub fn new(
        worker: WorkerName,
        domain: DomainName,
        rack: RackName,
        capacity: Resources,
    ) -> Self {
        Self {
            worker,
            domain,
            rack,
            capacity,
            heartbeat_interval: WORKER_HEARTBEAT_INTERVAL,
        }
    }
}
