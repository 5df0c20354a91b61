use tarragon_names::{DomainName, Millis, RackName, Resources, WorkerName};

use crate::WORKER_HEARTBEAT_INTERVAL;

/// Properties that a worker registers with, and its heartbeat interval.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct GuardConfig {
    /// Name of the worker.
    pub worker: WorkerName,
    /// Failure domain that the worker is in.
    pub domain: DomainName,
    /// Rack that the worker is in.
    pub rack: RackName,
    /// Total resources that the worker offers.
    pub capacity: Resources,
    /// Time between two consecutive heartbeats, and between retries of a registration.
    pub heartbeat_interval: Millis,
}

impl GuardConfig {
    /// Creates a configuration with the default heartbeat interval.
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
