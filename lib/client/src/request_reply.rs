use bytes::Bytes;

/// Answer of an executor to a service request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RequestReply {
    /// HTTP status of the executor.
    pub status: u16,
    /// Whole body.
    pub body: Bytes,
    /// Whether this is the stored answer to an earlier request with the same key.
    pub stored: bool,
}
