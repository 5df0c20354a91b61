use std::sync::Arc;

use serde::{Deserialize, Serialize};
use tarragon_names::{JobName, Resources, Workload};

/// A job as its caller asks for it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct JobSpec {
    /// Name, which the catalogue maps to owner, class and limits.
    pub name: JobName,
    /// Kind of work.
    pub kind: Workload,
    /// Number of tasks.
    pub tasks: u32,
    /// Resources for each task.
    pub resources: Resources,
    /// Expected run time of a task in milliseconds; 0 for a service.
    #[serde(default)]
    pub run_ms: u64,
    /// Time from acceptance by which the job should have ended, in milliseconds.
    #[serde(default)]
    pub deadline_ms: Option<u64>,
    /// Text handed through to the tasks.
    #[serde(default)]
    pub payload: Arc<str>,
}
