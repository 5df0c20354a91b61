use super::{JobTold, RequestTold};

/// What callers did and what they were told.
#[derive(Clone, Debug, Default)]
pub struct Told {
    /// Jobs.
    pub jobs: Vec<JobTold>,
    /// Service requests.
    pub requests: Vec<RequestTold>,
}
