use std::{collections::HashMap, fmt};

use tarragon_names::{Millis, Name, Resources};
use tarragon_shard::Sharded;

use crate::{Usage, entry_estimator::EntryEstimator};

const SHARD_COUNT: usize = 16;

/// Estimates of task size and run time for all catalogue entries, keyed by the entry's pattern.
pub struct Estimator {
    entries: Sharded<HashMap<Name, EntryEstimator>>,
}

impl Estimator {
    /// An estimator without reports.
    pub fn new() -> Self {
        Self {
            entries: Sharded::new(SHARD_COUNT, |_| HashMap::new()),
        }
    }

    /// Records the usage of a task of the entry; `declared` is the size that its caller declared.
    pub fn report(&self, entry: &Name, declared: &Resources, usage: &Usage) {
        self.entries.with(entry, |shard| {
            shard
                .entry(entry.clone())
                .or_insert_with(EntryEstimator::new)
                .report(declared, usage);
        });
    }

    /// Resources to reserve for a task, each at most the amount in `limit`.
    ///
    /// An amount of zero in `limit` means no limit, as in the limits of a catalogue entry.
    pub fn reservation(&self, entry: &Name, declared: &Resources, limit: &Resources) -> Resources {
        let estimate = self.entries.with(entry, |shard| {
            shard
                .get(entry)
                .map_or(*declared, |estimator| estimator.reservation(declared))
        });
        Resources {
            cpu_milli: at_most(estimate.cpu_milli, limit.cpu_milli),
            memory_mb: at_most(estimate.memory_mb, limit.memory_mb),
            accelerators: at_most(estimate.accelerators, limit.accelerators),
        }
    }

    /// Expected run time of a task, at most `limit`; a `limit` of zero means no limit.
    pub fn run_time(&self, entry: &Name, declared: Millis, limit: Millis) -> Millis {
        let estimate = self.entries.with(entry, |shard| {
            shard
                .get(entry)
                .map_or(declared, |estimator| estimator.run_time(declared))
        });
        Millis(at_most(estimate.0, limit.0))
    }

    /// Discards the reports of an entry that was deleted from the catalogue.
    pub fn remove_entry(&self, entry: &Name) {
        self.entries.with(entry, |shard| shard.remove(entry));
    }
}

impl Default for Estimator {
    fn default() -> Self {
        Self::new()
    }
}

impl fmt::Debug for Estimator {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Estimator")
            .field("entries", &self.entries)
            .finish()
    }
}

fn at_most(amount: u64, limit: u64) -> u64 {
    if limit == 0 {
        amount
    } else {
        amount.min(limit)
    }
}
