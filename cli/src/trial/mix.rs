use serde::Deserialize;

use super::{job_template::JobTemplate, request_template::RequestTemplate};

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
