use tarragon_agreement::Config;
use tarragon_storage::StoreSizes;

/// Upper limit of log and snapshot together. The snapshot is one record of its file, whose length has
/// 32 bits.
const MAX_BYTES: u64 = 1 << 30;

/// Limits in bytes of the log and the snapshot of a replica.
///
/// Each bound is in bytes, because a few large entries take up as much as many small ones. All
/// replicas hold the same entries and so reach a limit together; it must leave each of them the room
/// and the memory to start again and to make the next snapshot.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StateLimits {
    max_bytes: u64,
}

impl StateLimits {
    /// Derives the limits from the size of the disk and from the memory limit of the process.
    ///
    /// The old and the new snapshot and the log stand beside one another while a snapshot is saved:
    /// twice the limit at most, three quarters of the disk. Making a snapshot holds the state, its
    /// copy, its encoding and the file in memory, up to eight times its size.
    pub fn new(disk_bytes: u64, memory_bytes: u64) -> Self {
        let of_disk = disk_bytes / 8 * 3;
        let of_memory = memory_bytes / 8;
        Self {
            max_bytes: of_disk.min(of_memory).min(MAX_BYTES),
        }
    }

    /// Size of log and snapshot together at which entries that enlarge the state are refused.
    pub fn max_bytes(self) -> u64 {
        self.max_bytes
    }

    /// Size of a record that is never accepted, since a few of its kind would fill the log.
    pub fn max_record_bytes(self) -> u64 {
        self.max_bytes / 8
    }

    /// Size of damaged data that may be kept beside the state; it needs the rest of the disk that
    /// log and snapshots leave.
    pub fn max_aside_bytes(self) -> u64 {
        self.max_bytes / 3
    }

    /// Bytes that entries which enlarge the state may still add.
    pub fn room(self, sizes: StoreSizes) -> u64 {
        self.max_bytes.saturating_sub(sizes.total_bytes())
    }

    /// Returns whether the log has grown enough for a snapshot. `kept_log_bytes` is the size that the
    /// latest snapshot left in the log.
    ///
    /// A large snapshot leaves less room for the log, but the log must grow by a sixteenth of the
    /// limit, so that snapshots do not follow one another without a pause.
    pub fn is_snapshot_due(self, sizes: StoreSizes, kept_log_bytes: u64) -> bool {
        let of_half = (self.max_bytes / 2).saturating_sub(sizes.snapshot_bytes);
        let grown = sizes.log_bytes.saturating_sub(kept_log_bytes);
        sizes.log_bytes >= of_half && grown >= self.max_bytes / 16
    }

    /// Size of uncommitted records above which none that enlarges the state is added. It holds one
    /// largest record beside others, and leaves a part of the bound of the agreement to the rest.
    pub fn max_uncommitted_growth(self) -> u64 {
        self.max_record_bytes() / 2 * 3
    }

    /// Returns the settings of the agreement with its bounds in bytes.
    pub fn bound(self, cfg: &Config) -> Config {
        let bytes = |bytes: u64| usize::try_from(bytes).unwrap_or(usize::MAX);
        Config {
            max_uncommitted_bytes: bytes(2 * self.max_record_bytes()),
            keep_bytes: bytes(self.max_bytes / 8),
            ..cfg.clone()
        }
    }
}
