use serde::Deserialize;

use super::{job_template::JobTemplate, request_template::RequestTemplate};

/// Work that callers send during a trial.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Mix {
    /// Seed of all random choices.
    pub seed: u64,
    /// Share of the jobs that are cancelled.
    pub cancel_percent: u32,
    /// Jobs.
    #[serde(default)]
    pub jobs: Vec<JobTemplate>,
    /// Service requests.
    #[serde(default)]
    pub requests: Vec<RequestTemplate>,
}
