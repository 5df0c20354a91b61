use std::sync::Arc;

use tarragon_names::{JobName, Resources, Workload};

/// Description of a task as sent to the worker that runs it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TaskSpec {
    /// Name under which the job was submitted.
    pub name: JobName,
    /// Kind of work.
    pub workload: Workload,
    /// Resources reserved for the task.
    pub resources: Resources,
    /// Declared run time in milliseconds; 0 for a task that runs until it is stopped.
    pub run_ms: u64,
    /// Opaque bytes passed from the caller to the task.
    pub payload: Arc<[u8]>,
}
