//! What callers did and what they were told.

use std::time::Duration;

use tarragon_cell::JobView;
use tarragon_codes::Failure;
use tarragon_names::{JobId, JobName, KeyName};

/// A job from its caller's view.
#[derive(Clone, Debug)]
pub(super) struct JobTold {
    pub(super) name: JobName,
    pub(super) key: KeyName,
    /// Wall clock of the submission in milliseconds.
    pub(super) submitted: u64,
    /// Answer to the submission.
    pub(super) accepted: Result<JobId, Failure>,
    /// Last view of the job.
    pub(super) last: Result<JobView, Failure>,
}

/// A service request from its caller's view.
#[derive(Clone, Debug)]
pub(super) struct RequestTold {
    /// Begins its body, so that executors' records show it.
    pub(super) id: String,
    pub(super) repeatable: bool,
    /// Status and whether the body came back whole, or the refusal.
    pub(super) answer: Result<(u16, bool), Failure>,
    pub(super) took: Duration,
}

/// Everything that callers did.
#[derive(Clone, Debug, Default)]
pub(super) struct Told {
    pub(super) jobs: Vec<JobTold>,
    pub(super) requests: Vec<RequestTold>,
}
