use tarragon_names::{DomainName, RackName, Resources, WorkerName};

/// Properties and reservations of a worker, as far as placement needs them.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WorkerInfo {
    /// Name that identifies the worker.
    pub name: WorkerName,
    /// Failure domain of the worker.
    pub domain: DomainName,
    /// Rack of the worker, which determines its shard.
    pub rack: RackName,
    /// Total resources of the worker.
    pub capacity: Resources,
    /// Resources reserved for tasks; may exceed the capacity after `Placer::reserve`.
    pub reserved: Resources,
    /// Whether new tasks may be placed; false while the worker is draining or quarantined.
    pub schedulable: bool,
}

impl WorkerInfo {
    /// A schedulable worker without reservations.
    pub fn new(name: WorkerName, domain: DomainName, rack: RackName, capacity: Resources) -> Self {
        Self {
            name,
            domain,
            rack,
            capacity,
            reserved: Resources::ZERO,
            schedulable: true,
        }
    }

    /// Capacity that is not reserved; zero where reservations exceed the capacity.
    pub fn free(&self) -> Resources {
        self.capacity.saturating_sub(&self.reserved)
    }
}
