//! Timing of the worker lease; docs/design.md derives the resulting time bounds.

use tarragon_names::Millis;

/// Time between two consecutive heartbeats of a worker.
pub const WORKER_HEARTBEAT_INTERVAL: Millis = Millis(1_000);

/// Time for which a worker may run tasks, counted from when it sent the last answered heartbeat.
pub const WORKER_LEASE_DURATION: Millis = Millis(10_000);
