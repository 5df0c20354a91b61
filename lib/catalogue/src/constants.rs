//! Lengths of the freshness lease and bounds of entries.

use tarragon_names::Millis;

/// Time between two polls of a host.
pub const FRESHNESS_POLL_INTERVAL: Millis = Millis(500);

/// Time for which a host may decide by its catalogue after it sent a poll that was answered.
pub const FRESHNESS_LEASE: Millis = Millis(2_500);

/// Revisions kept of each entry.
pub const MAX_REVISIONS_PER_ENTRY: usize = 16;

/// Shortest time limit of a service request that an entry may set.
pub const MIN_REQUEST_TIMEOUT: Millis = Millis(50);

/// Longest time limit of a service request that an entry may set.
pub const MAX_REQUEST_TIMEOUT: Millis = Millis(30_000);

/// Most tasks of a job that an entry may allow; each task costs memory on every replica.
pub const MAX_TASKS_PER_JOB: u32 = 20_000;
