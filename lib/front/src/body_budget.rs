use std::sync::atomic::{AtomicUsize, Ordering};

/// Part of the memory of a process that request bodies may take up, as a divisor. A body is copied
/// when its buffer grows and again when it is decoded.
const MEMORY_DIVISOR: u64 = 8;

/// Bound in bytes on the request bodies in memory, over all connections of the interfaces that share
/// it.
///
/// Bytes count from their arrival, so a caller that announces a large body and sends nothing takes
/// nothing away from others. A request never waits for room.
#[derive(Debug)]
pub struct BodyBudget {
    max_bytes: usize,
    used_bytes: AtomicUsize,
}

impl BodyBudget {
    /// A bound of `max_bytes` on the bodies together.
    pub const fn new(max_bytes: usize) -> Self {
        Self {
            max_bytes,
            used_bytes: AtomicUsize::new(0),
        }
    }

    /// The bound for a process with the given memory limit.
    pub fn of_memory(memory_bytes: u64) -> Self {
        Self::new(usize::try_from(memory_bytes / MEMORY_DIVISOR).unwrap_or(usize::MAX))
    }

    /// Returns whether a body of this size would be taken now.
    pub(crate) fn has_room(&self, bytes: usize) -> bool {
        self.allows(self.used_bytes.load(Ordering::Acquire), 0, bytes)
    }

    /// Counts `more` bytes of a body of which `held` bytes are counted already. Returns false and
    /// counts nothing if they don't fit.
    pub(crate) fn take(&self, held: usize, more: usize) -> bool {
        self.used_bytes
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, |used| {
                self.allows(used, held, more).then(|| used + more)
            })
            .is_ok()
    }

    pub(crate) fn release(&self, bytes: usize) {
        self.used_bytes.fetch_sub(bytes, Ordering::AcqRel);
    }

    /// A body that is alone always fits: its own limit applies, and a bound below that limit would
    /// refuse it forever.
    fn allows(&self, used: usize, held: usize, more: usize) -> bool {
        used == held || used.saturating_add(more) <= self.max_bytes
    }
}
