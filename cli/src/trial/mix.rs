use serde::Deserialize;
use tarragon_names::{JobName, Workload};

/// Work that callers send during a trial.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct Mix {
    /// Seed of all random choices.
    pub(super) seed: u64,
    /// Share of the jobs that are cancelled.
    pub(super) cancel_percent: u32,
    /// Jobs.
    #[serde(default)]
    pub(super) jobs: Vec<JobTemplate>,
    /// Service requests.
    #[serde(default)]
    pub(super) requests: Vec<RequestTemplate>,
}

/// Jobs that are alike; pairs are the least and the greatest value.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct JobTemplate {
    pub(super) name: JobName,
    pub(super) kind: Workload,
    pub(super) tasks: (u64, u64),
    pub(super) cpu_milli: (u64, u64),
    pub(super) memory_mb: (u64, u64),
    pub(super) run_ms: (u64, u64),
    pub(super) per_second: f64,
    #[serde(default)]
    pub(super) deadline_ms: Option<u64>,
    #[serde(default)]
    pub(super) payload: String,
}

/// Service requests that are alike.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct RequestTemplate {
    pub(super) name: JobName,
    pub(super) per_second: f64,
    /// Share of the requests that carry an idempotency key.
    pub(super) keyed_percent: u32,
    /// Length of the body.
    pub(super) bytes: usize,
}
