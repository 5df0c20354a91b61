use serde::Deserialize;
use tarragon_names::JobName;

/// Service requests that are alike.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct RequestTemplate {
    pub(super) name: JobName,
    pub(super) per_second: f64,
    /// Share of the requests that carry an idempotency key.
    pub(super) keyed_percent: u32,
    /// Length of the body.
    pub(super) bytes: usize,
}
