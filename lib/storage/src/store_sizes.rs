/// Sizes of what a store holds, in bytes.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct StoreSizes {
    /// Size of the log, including entries that a snapshot covers and that are not deleted yet.
    pub log_bytes: u64,
    /// Size of the latest snapshot.
    pub snapshot_bytes: u64,
}

impl StoreSizes {
    /// Size of log and snapshot. The next snapshot is not larger than about this, because it holds
    /// what the latest one and the entries since then have put into the state.
    pub fn total_bytes(self) -> u64 {
        self.log_bytes + self.snapshot_bytes
    }
}
