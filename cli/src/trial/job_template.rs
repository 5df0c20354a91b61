use serde::Deserialize;
use tarragon_names::{JobName, Workload};

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
