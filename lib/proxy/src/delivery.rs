use tarragon_codes::Failure;
use tarragon_front::ServiceReply;

/// What came of a request.
#[derive(Clone, Debug)]
pub(crate) enum Delivery {
    /// The whole answer of an executor.
    Answer(ServiceReply),
    /// It was certainly not sent.
    NotSent(Failure),
    /// It may have run.
    Lost(Failure),
}
