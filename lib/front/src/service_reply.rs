use bytes::Bytes;

/// Answer of an executor to a service request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServiceReply {
    /// HTTP status that the executor answered with.
    pub status: u16,
    /// Media type of the body; `None` if the executor sent none.
    pub content_type: Option<String>,
    /// Whole body of the executor's answer.
    pub body: Bytes,
    /// Whether this is the stored answer to an earlier request with the same key.
    pub stored: bool,
}
