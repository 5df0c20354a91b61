use std::time::Duration;

/// Times of the links between hosts.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LinkTiming {
    /// Time between two heartbeats of an idle link.
    pub beat: Duration,
    /// Silence after which a link is closed and made anew.
    pub silent: Duration,
}
