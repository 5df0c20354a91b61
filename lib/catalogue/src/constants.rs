//! Timing of the freshness lease and bounds of catalogue entries.

use tarragon_names::Millis;

/// Time between two polls of a host for catalogue changes.
pub const FRESHNESS_POLL_INTERVAL: Millis = Millis(500);

/// Time for which a host may use its copy of the catalogue, counted from the sending of the last
/// answered poll.
pub const FRESHNESS_LEASE: Millis = Millis(2_500);

/// Most revisions that are kept of each entry.
pub const MAX_REVISIONS_PER_ENTRY: usize = 16;

/// Shortest timeout of a service request that an entry may set.
pub const MIN_REQUEST_TIMEOUT: Millis = Millis(50);

/// Longest timeout of a service request that an entry may set.
pub const MAX_REQUEST_TIMEOUT: Millis = Millis(30_000);

/// Most tasks of a job that an entry may allow; each task takes memory on every replica.
pub const MAX_TASKS_PER_JOB: u32 = 20_000;
