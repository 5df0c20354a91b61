use tarragon_codes::{Code, Failure, Outcome};
use tarragon_storage::StoreSizes;

use crate::{Growth, StateLimits};

/// Retry delay returned to callers whose proposal the state has no room for, in milliseconds.
const STATE_FULL_RETRY_MS: u64 = 1_000;

/// Retry delay returned to callers whose proposal waits for others to commit, in milliseconds.
const UNCOMMITTED_RETRY_MS: u64 = 500;

/// Room that the log and the next snapshot have for records that enlarge the state.
#[derive(Clone, Copy, Debug)]
pub struct GrowthRoom {
    limits: StateLimits,
    free_bytes: u64,
    uncommitted_bytes: u64,
}

impl GrowthRoom {
    /// Returns the room beside what the store holds, part of which is not committed yet.
    pub fn new(limits: StateLimits, sizes: StoreSizes, uncommitted_bytes: u64) -> Self {
        Self {
            limits,
            free_bytes: limits.room(sizes),
            uncommitted_bytes,
        }
    }

    /// Returns the room beside a full disk, which is none.
    pub fn closed(limits: StateLimits) -> Self {
        Self {
            limits,
            free_bytes: 0,
            uncommitted_bytes: 0,
        }
    }

    /// Takes room for a record of `len` bytes, or returns why it is refused. A refused record is not
    /// proposed and has no effect.
    pub fn take(&mut self, growth: Growth, len: u64) -> Outcome<()> {
        let max_len = self.limits.max_record_bytes();
        if len > max_len {
            let cause = format!("{len} bytes, at most {max_len}");
            return Err(Failure::new(Code::TooLarge, cause));
        }
        // Small jobs would otherwise take each byte that becomes free, and no configuration would
        // get through.
        let reserved = match growth {
            Growth::Work => max_len,
            Growth::Settings | Growth::None => 0,
        };
        let free = self.free_bytes.saturating_sub(reserved);
        if len > free {
            let cause = format!("{len} bytes, {free} are free");
            return Err(Failure::new(Code::StateFull, cause).retry_after(STATE_FULL_RETRY_MS));
        }
        let is_first = self.uncommitted_bytes == 0;
        if !is_first && self.uncommitted_bytes + len > self.limits.max_uncommitted_growth() {
            return Err(Failure::of(Code::QueueFull).retry_after(UNCOMMITTED_RETRY_MS));
        }
        self.free_bytes -= len;
        self.uncommitted_bytes += len;
        Ok(())
    }
}
