use bytes::Bytes;

/// Answer of an executor to a service request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RequestReply {
    /// HTTP status that the executor answered with.
    pub status: u16,
    /// Whole body of the executor's answer.
    pub body: Bytes,
    /// Whether the host returned its stored answer to an earlier request with the same key.
    pub stored: bool,
}
