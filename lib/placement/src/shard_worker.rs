use crate::WorkerInfo;

/// A worker in a shard, with the number of its failure domain.
#[derive(Debug)]
pub(crate) struct ShardWorker {
    pub(crate) info: WorkerInfo,
    /// Number that the ledger assigned to the failure domain; below `MAX_DOMAINS`.
    pub(crate) domain: u8,
}
