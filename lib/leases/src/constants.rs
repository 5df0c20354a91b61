//! Lengths of the worker lease; docs/design.md adds up the bounds that follow from them.

use tarragon_names::Millis;

/// Time between two heartbeats of a worker.
pub const WORKER_HEARTBEAT_INTERVAL: Millis = Millis(1_000);

/// Time for which a worker may run tasks after it sent a heartbeat that was answered.
pub const WORKER_LEASE_DURATION: Millis = Millis(10_000);
