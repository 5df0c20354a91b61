use std::sync::atomic::{AtomicU64, Ordering::Relaxed};

use tarragon_names::Resources;

/// Running sum of resources over all workers.
///
/// Read without a lock to compute the weights of a search, for which slightly outdated values
/// suffice.
#[derive(Debug, Default)]
pub(crate) struct ResourceSums {
    cpu_milli: AtomicU64,
    memory_mb: AtomicU64,
    accelerators: AtomicU64,
}

impl ResourceSums {
    pub(crate) fn add(&self, amounts: &Resources) {
        self.cpu_milli.fetch_add(amounts.cpu_milli, Relaxed);
        self.memory_mb.fetch_add(amounts.memory_mb, Relaxed);
        self.accelerators.fetch_add(amounts.accelerators, Relaxed);
    }

    pub(crate) fn sub(&self, amounts: &Resources) {
        self.cpu_milli.fetch_sub(amounts.cpu_milli, Relaxed);
        self.memory_mb.fetch_sub(amounts.memory_mb, Relaxed);
        self.accelerators.fetch_sub(amounts.accelerators, Relaxed);
    }

    /// Replaces the summand `old` by `new`.
    pub(crate) fn change(&self, old: &Resources, new: &Resources) {
        if old != new {
            self.add(new);
            self.sub(old);
        }
    }

    pub(crate) fn get(&self) -> Resources {
        Resources::new(
            self.cpu_milli.load(Relaxed),
            self.memory_mb.load(Relaxed),
            self.accelerators.load(Relaxed),
        )
    }
}
