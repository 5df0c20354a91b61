use crate::WorkerInfo;

/// A worker in a shard.
#[derive(Debug)]
pub(crate) struct Slot {
    pub(crate) info: WorkerInfo,
    /// Number of the failure domain, below `DOMAINS`.
    pub(crate) domain: u8,
}
