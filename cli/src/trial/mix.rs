use serde::Deserialize;

use super::{job_template::JobTemplate, request_template::RequestTemplate};

/// Jobs and service requests that callers send during a trial.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Mix {
    /// Seed of all random choices.
    pub seed: u64,
    /// Percentage of the jobs that are cancelled.
    pub cancel_percent: u32,
    /// Templates of the jobs.
    #[serde(default)]
    pub jobs: Vec<JobTemplate>,
    /// Templates of the service requests.
    #[serde(default)]
    pub requests: Vec<RequestTemplate>,
}
