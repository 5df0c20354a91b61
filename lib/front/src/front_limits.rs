use std::time::Duration;

/// Limits of the HTTP interface on connections, sizes and times.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct FrontLimits {
    /// Most connections at a time; one more is answered 3107 and closed.
    pub max_connections: usize,
    /// Most bytes of a request's head.
    pub max_head_bytes: usize,
    /// Most header fields of a request.
    pub max_headers: usize,
    /// Most bytes of a request's body.
    pub max_body_bytes: usize,
    /// Time in which a whole request head must arrive; also the time after which an idle connection
    /// is closed, since an idle connection is one whose next head has not arrived.
    pub head_timeout: Duration,
    /// Time in which a whole body must arrive.
    pub body_timeout: Duration,
    /// Time for which a caller may accept no byte of its answer.
    pub write_stall_timeout: Duration,
    /// Time limit of a write to the replicated log.
    pub propose_timeout: Duration,
    /// Time that requests in flight have after the shutdown began.
    pub drain_timeout: Duration,
}

impl Default for FrontLimits {
    fn default() -> Self {
        Self {
            max_connections: 4_096,
            max_head_bytes: 16 * 1_024,
            max_headers: 64,
            max_body_bytes: 1_024 * 1_024,
            head_timeout: Duration::from_secs(10),
            body_timeout: Duration::from_secs(10),
            write_stall_timeout: Duration::from_secs(10),
            propose_timeout: Duration::from_secs(4),
            drain_timeout: Duration::from_secs(30),
        }
    }
}
