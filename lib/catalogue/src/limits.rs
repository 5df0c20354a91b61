use serde::{Deserialize, Serialize};
use tarragon_names::Resources;

/// Limits that a catalogue entry sets. Every field has a default, so an entry sets only those that
/// differ.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Limits {
    /// Most tasks of a job.
    pub max_tasks: u32,
    /// Most resources that a task may request; zero amounts mean no limit.
    pub max_task: Resources,
    /// Longest run time that a job may declare for a task, in milliseconds.
    pub max_run_ms: u64,
    /// Number of failed or lost attempts after which a task ends.
    pub max_attempts: u32,
    /// Most jobs under the entry that may wait or run at once.
    pub max_jobs: u32,
    /// Timeout of a service request, in milliseconds.
    pub request_timeout_ms: u64,
    /// Most service requests that may wait on one host.
    pub max_waiting: u32,
    /// Most times that a service request is sent; above 1 only if the entry is repeatable.
    pub max_sends: u32,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            max_tasks: 1_000,
            max_task: Resources::ZERO,
            max_run_ms: 24 * 3_600 * 1_000,
            max_attempts: 4,
            max_jobs: 10_000,
            request_timeout_ms: 2_000,
            max_waiting: 64,
            max_sends: 1,
        }
    }
}
