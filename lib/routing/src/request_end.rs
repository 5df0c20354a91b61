/// How a request to an executor ended; decides when its slot becomes free.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum RequestEnd {
    /// A complete response arrived.
    Answered,
    /// A complete response arrived and reports a failure of the backend server (status 500 or above).
    AnsweredFailure,
    /// Nothing was sent, for a reason unrelated to the executor.
    NotSent,
    /// Nothing was sent, because no new connection could be opened.
    Unreachable,
    /// The connection ended without a complete response, so the request may still run.
    Lost,
}
