use tarragon_names::Millis;

/// Bounds of the health decisions.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct HealthConfig {
    /// Distinct jobs that must fail quickly on a worker before it is quarantined.
    pub min_failed_jobs: usize,
    /// Distinct good workers that a job must fail on before it is held.
    pub min_failed_workers: usize,
    /// Time from quarantine to the first probe.
    pub min_probe_delay: Millis,
    /// Longest time between probes.
    pub max_probe_delay: Millis,
    /// Most workers in quarantine, in percent of all workers.
    pub max_quarantined_percent: usize,
    /// Time for which a failed job is remembered after its last failure.
    pub job_retention: Millis,
}

impl Default for HealthConfig {
    fn default() -> Self {
        Self {
            min_failed_jobs: 3,
            min_failed_workers: 3,
            min_probe_delay: Millis(10_000),
            max_probe_delay: Millis(600_000),
            max_quarantined_percent: 10,
            job_retention: Millis(3_600_000),
        }
    }
}
