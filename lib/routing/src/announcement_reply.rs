use serde::{Deserialize, Serialize};

/// Answer of the home host to an announcement.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AnnouncementReply {
    /// Clock reading of the home host, to be echoed.
    pub clock: u64,
    /// Whether the executor should announce itself to another host, because this one stops.
    pub moving: bool,
    /// Whether an operator has drained the executor.
    pub draining: bool,
}
