use tarragon_names::{DomainName, HostCapacity, Millis};

use crate::{HostSpeed, RepeatBudget};

/// Processor time that one call to a worker a second takes, in thousandths of a core, with its part of the
/// frames between hosts.
const CALL_MILLI: u64 = 1;

/// Size of a start order with the payload of its task, in kbit.
const CALL_KBIT: u64 = 24;

/// A host that can deliver orders.
#[derive(Clone, Debug)]
pub(crate) struct DeliveryHost {
    pub(crate) domain: DomainName,
    pub(crate) capacity: HostCapacity,
    pub(crate) last_seen_at: Millis,
    /// The host delivers nothing before this time.
    pub(crate) not_before: Millis,
    pub(crate) speed: HostSpeed,
    pub(crate) repeat_budget: RepeatBudget,
}

impl DeliveryHost {
    /// Weight of the host in the division of the workers: calls a second that its processor and its link
    /// can carry, less if its orders take long.
    pub(crate) fn weight(&self) -> u64 {
        let by_processor = self.capacity.processor_milli / CALL_MILLI;
        let by_link = self.capacity.link_kbps / CALL_KBIT;
        (by_processor.min(by_link) * self.speed.percent() / 100).max(1)
    }
}
