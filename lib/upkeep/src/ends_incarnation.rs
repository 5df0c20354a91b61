use tarragon_workflow::{Wave, WorkerIncarnation};

/// Largest difference between the clocks of workers and hosts, in milliseconds.
const CLOCK_SKEW_MS: u64 = 5_000;

/// Returns whether the confirmed upkeep of a machine ended the incarnation that the worker had
/// there.
///
/// An order that was carried out earlier is confirmed too; the worker may then have started after
/// the upkeep and still run. Only an incarnation that started clearly before the wave was requested
/// has ended.
pub fn ends_incarnation(wave: &Wave, incarnation: &WorkerIncarnation) -> bool {
    incarnation.started_ms > 0 && incarnation.started_ms + CLOCK_SKEW_MS < wave.requested_ms
}
