use std::time::Duration;

/// Timing of the links between hosts.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LinkTiming {
    /// Interval between heartbeats on an idle link.
    pub heartbeat_interval: Duration,
    /// Time without a frame from the other host after which a link is closed and reconnected.
    pub silence_timeout: Duration,
}
