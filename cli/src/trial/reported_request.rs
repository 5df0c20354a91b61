use std::time::Duration;

use tarragon_codes::Failure;

/// A service request as reported to its caller.
#[derive(Clone, Debug)]
pub struct ReportedRequest {
    /// Id at the start of the body, by which executors' records identify the request.
    pub id: String,
    /// Whether the catalogue allows the request to be sent more than once.
    pub repeatable: bool,
    /// Status and whether the body was returned intact, or the refusal.
    pub answer: Result<(u16, bool), Failure>,
    /// Time until the answer.
    pub took: Duration,
}
