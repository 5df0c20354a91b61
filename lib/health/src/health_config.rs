use tarragon_names::Millis;

/// Bounds of the health decisions.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct HealthConfig {
    /// Distinct jobs that must fail quickly on a worker before it is quarantined.
    pub bad_min: usize,
    /// Distinct good workers that a job must fail on before it is held.
    pub job_bad_workers: usize,
    /// Time from quarantine to the first probe.
    pub probe_min: Millis,
    /// Longest time between probes.
    pub probe_max: Millis,
    /// Most workers in quarantine, in percent of all workers.
    pub quarantine_percent: usize,
    /// Time for which a failed job is remembered after its last failure.
    pub job_memory: Millis,
}

impl Default for HealthConfig {
    fn default() -> Self {
        Self {
            bad_min: 3,
            job_bad_workers: 3,
            probe_min: Millis(10_000),
            probe_max: Millis(600_000),
            quarantine_percent: 10,
            job_memory: Millis(3_600_000),
        }
    }
}
