/// What a stand-in executor does wrong.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum ExecutorFault {
    /// Nothing.
    #[default]
    None,
    /// Closes the connection after it has read and run a request.
    DropAfterRead,
    /// Does the same with each request whose number is a multiple of this one.
    DropEvery(u64),
    /// Closes the connection in the middle of an answer.
    TruncateResponse,
    /// Connections that are open when the fault begins stay silent; new ones work.
    SilentConnections,
    /// Reads requests and never answers, on any connection.
    Silent,
    /// Answers every request with status 500 at once.
    FailAll,
}
