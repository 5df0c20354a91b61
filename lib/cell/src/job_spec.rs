use std::sync::Arc;

use serde::{Deserialize, Serialize};
use tarragon_names::{JobName, Resources, Workload};

/// Job as requested by a caller.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct JobSpec {
    /// Name that selects the catalogue entry with the job's owner, class and limits.
    pub name: JobName,
    /// Kind of work; must be allowed by the catalogue entry.
    pub kind: Workload,
    /// Number of tasks, at least 1.
    pub tasks: u32,
    /// Resources that each task needs.
    pub resources: Resources,
    /// Expected run time of a task in milliseconds; 0 for a service.
    #[serde(default)]
    pub run_ms: u64,
    /// Time from acceptance until the job should have ended, in milliseconds.
    #[serde(default)]
    pub deadline_ms: Option<u64>,
    /// Text passed unchanged to each task.
    #[serde(default)]
    pub payload: Arc<str>,
}
