use tarragon_names::Millis;

/// Thresholds and delays of the health decisions.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct HealthConfig {
    /// Number of distinct jobs that must fail quickly on a worker before the worker is quarantined.
    pub min_failed_jobs: usize,
    /// Number of distinct workers, on which other jobs succeed, that a job must fail on before the
    /// job is ended as failed.
    pub min_failed_workers: usize,
    /// Time from the start of a quarantine to the first probe.
    pub min_probe_delay: Millis,
    /// Maximum time between two probes; the delay doubles after each failed one.
    pub max_probe_delay: Millis,
    /// Maximum number of quarantined workers in percent of all workers; at least one is allowed.
    pub max_quarantined_percent: usize,
    /// Time for which the failures of a job are retained after the last one.
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
