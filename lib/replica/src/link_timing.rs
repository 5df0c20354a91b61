use std::time::Duration;

/// Times of the links between hosts.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LinkTiming {
    /// Time between two heartbeats of an idle link.
    pub heartbeat_interval: Duration,
    /// Silence after which a link is closed and made anew.
    pub silence_timeout: Duration,
}
