/// Fault that a stand-in executor injects.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum ExecutorFault {
    /// Works correctly.
    #[default]
    None,
    /// Runs each request, then closes the connection without a response.
    DropAfterRead,
    /// Like `DropAfterRead`, but only for each request whose number is a multiple of this one.
    DropEvery(u64),
    /// Closes the connection in the middle of each response.
    TruncateResponse,
    /// Never answers requests on connections that were accepted before the fault began; new
    /// connections work.
    SilentConnections,
    /// Reads requests on all connections and never answers them.
    Silent,
    /// Answers each request with status 500 at once.
    FailAll,
}
