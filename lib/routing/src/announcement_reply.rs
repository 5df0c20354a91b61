use serde::{Deserialize, Serialize};

/// Reply of the home host to an announcement.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AnnouncementReply {
    /// Clock reading of the home host, which the next announcement has to echo.
    pub clock: u64,
    /// Whether the executor should announce itself to another host because this one is stopping.
    pub moving: bool,
    /// Whether an operator is draining the executor, so that it gets no new request.
    pub draining: bool,
}
