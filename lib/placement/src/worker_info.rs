use tarragon_names::{DomainName, RackName, Resources, WorkerName};

/// A worker as placement sees it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WorkerInfo {
    /// Name of the worker.
    pub name: WorkerName,
    /// Failure domain that the worker is in.
    pub domain: DomainName,
    /// Rack that the worker is in; the key of its shard.
    pub rack: RackName,
    /// What the worker offers in total.
    pub capacity: Resources,
    /// What is reserved on the worker.
    pub reserved: Resources,
    /// Whether new tasks may be placed; false while it drains or is quarantined.
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
