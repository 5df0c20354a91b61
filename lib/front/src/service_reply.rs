use bytes::Bytes;

/// The whole answer of an executor.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServiceReply {
    /// HTTP status of the executor.
    pub status: u16,
    /// Media type of the body.
    pub content_type: Option<String>,
    /// Whole body.
    pub body: Bytes,
    /// Whether this is a stored answer to an earlier request with the same key.
    pub stored: bool,
}
