use std::{collections::HashMap, fmt};

use tarragon_names::{Millis, Name, Resources};
use tarragon_shard::Sharded;

use crate::{Usage, entry_usage::EntryUsage};

const SHARDS: usize = 16;

/// Estimators of all catalogue entries, keyed by the text of the entry's pattern.
pub struct Estimator {
    entries: Sharded<HashMap<Name, EntryUsage>>,
}

impl Estimator {
    /// An estimator without reports.
    pub fn new() -> Self {
        Self {
            entries: Sharded::new(SHARDS, |_| HashMap::new()),
        }
    }

    /// Adds what a task of the entry used, beside what was declared for it.
    pub fn report(&self, entry: &Name, declared: &Resources, usage: &Usage) {
        self.entries.with(entry, |shard| {
            shard
                .entry(entry.clone())
                .or_insert_with(EntryUsage::new)
                .report(declared, usage);
        });
    }

    /// What to reserve for a task, never above `limit` in an amount that `limit` sets.
    ///
    /// An amount of zero in `limit` means no limit, as in the limits of a catalogue entry.
    pub fn reservation(&self, entry: &Name, declared: &Resources, limit: &Resources) -> Resources {
        let wanted = self.entries.with(entry, |shard| {
            shard
                .get(entry)
                .map_or(*declared, |usage| usage.reservation(declared))
        });
        Resources {
            cpu_milli: at_most(wanted.cpu_milli, limit.cpu_milli),
            memory_mb: at_most(wanted.memory_mb, limit.memory_mb),
            accelerators: at_most(wanted.accelerators, limit.accelerators),
        }
    }

    /// Run time to plan with, at most `limit` unless that is zero.
    pub fn run_time(&self, entry: &Name, declared: Millis, limit: Millis) -> Millis {
        let wanted = self.entries.with(entry, |shard| {
            shard
                .get(entry)
                .map_or(declared, |usage| usage.run_time(declared))
        });
        Millis(at_most(wanted.0, limit.0))
    }

    /// Forgets an entry that was deleted from the catalogue.
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
