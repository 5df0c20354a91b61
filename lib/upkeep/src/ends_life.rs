use tarragon_workflow::{Wave, WorkerIncarnation};

/// Most by which the clocks of workers and hosts differ, in milliseconds.
const CLOCK_SKEW_MS: u64 = 5_000;

/// Tells whether a machine's upkeep, now confirmed, ended the life of the worker that was known
/// there before.
///
/// An order that was carried out earlier is confirmed alike; the worker may then have begun after
/// the upkeep, and goes on. Only one that began clearly before the wave was asked for has ended.
pub fn ends_life(wave: &Wave, life: &WorkerIncarnation) -> bool {
    life.started_ms > 0 && life.started_ms + CLOCK_SKEW_MS < wave.requested_ms
}
