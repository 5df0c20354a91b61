use std::time::Duration;

use tarragon_codes::Failure;

/// A service request from its caller's view.
#[derive(Clone, Debug)]
pub struct RequestTold {
    /// Begins its body, so that executors' records show it.
    pub id: String,
    /// Whether the catalogue lets it be sent more than once.
    pub repeatable: bool,
    /// Status and whether the body came back whole, or the refusal.
    pub answer: Result<(u16, bool), Failure>,
    /// Time until the answer.
    pub took: Duration,
}
