/// How a request to an executor ended, as far as its slot is concerned.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum RequestEnd {
    /// The whole answer arrived.
    Answered,
    /// The whole answer arrived and reports a failure of the backend server.
    AnsweredFailure,
    /// Nothing was sent, for a reason that is not the executor's.
    NotSent,
    /// Nothing was sent, because no new connection could be opened.
    Unreachable,
    /// The connection ended without a whole answer, so the request may still run.
    Lost,
}
