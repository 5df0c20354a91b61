use super::{ReportedJob, ReportedRequest};

/// Outcomes of jobs and service requests as reported to their callers.
#[derive(Clone, Debug, Default)]
pub struct ReportedOutcomes {
    /// Jobs.
    pub jobs: Vec<ReportedJob>,
    /// Service requests.
    pub requests: Vec<ReportedRequest>,
}
