use tarragon_codes::Failure;
use tarragon_front::ServiceReply;

/// Outcome of sending a request.
#[derive(Clone, Debug)]
pub(crate) enum DeliveryOutcome {
    /// The complete response of an executor.
    Answered(ServiceReply),
    /// The request was certainly not sent.
    NotSent(Failure),
    /// The outcome is unknown: the request may have run.
    Lost(Failure),
}
