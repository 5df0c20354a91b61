use serde::Deserialize;
use tarragon_names::JobName;

/// Template of similar service requests.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RequestTemplate {
    pub name: JobName,
    pub per_second: f64,
    /// Percentage of the requests that carry an idempotency key.
    pub keyed_percent: u32,
    /// Length of the body in bytes.
    pub bytes: usize,
}
