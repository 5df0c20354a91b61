use std::sync::Arc;

use tarragon_names::{JobName, Resources, Workload};

/// What a worker needs to know to run a task.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TaskSpec {
    /// Name under which the job was submitted.
    pub name: JobName,
    /// Kind of work.
    pub workload: Workload,
    /// Resources reserved for the task.
    pub resources: Resources,
    /// Declared run time in milliseconds; 0 for a service.
    pub run_ms: u64,
    /// Bytes handed through from the caller to the task.
    pub payload: Arc<[u8]>,
}
