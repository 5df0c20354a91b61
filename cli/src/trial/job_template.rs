use serde::Deserialize;
use tarragon_names::{JobName, Workload};

/// Template of similar jobs; each pair holds the minimum and the maximum value.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JobTemplate {
    pub name: JobName,
    pub kind: Workload,
    pub tasks: (u64, u64),
    pub cpu_milli: (u64, u64),
    pub memory_mb: (u64, u64),
    pub run_ms: (u64, u64),
    pub per_second: f64,
    #[serde(default)]
    pub deadline_ms: Option<u64>,
    #[serde(default)]
    pub payload: String,
}
