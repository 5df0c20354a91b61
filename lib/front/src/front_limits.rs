use std::{sync::Arc, time::Duration};

use crate::BodyBudget;

/// Bound on the request bodies in memory without a memory limit to derive it from, in bytes.
const DEFAULT_BODY_BUDGET_BYTES: usize = 64 << 20;

/// Limits of the HTTP interface on connections, sizes and times.
#[derive(Clone, Debug)]
pub struct FrontLimits {
    /// Maximum number of open connections; a further one is answered with code 3107 and closed.
    pub max_connections: usize,
    /// Maximum size of a request head, in bytes.
    pub max_head_bytes: usize,
    /// Maximum number of header fields of a request.
    pub max_headers: usize,
    /// Maximum size of a request body, in bytes.
    pub max_body_bytes: usize,
    /// Bound in bytes on the bodies of all requests together; a further one is refused with code
    /// 3101. Clones share it.
    pub body_budget: Arc<BodyBudget>,
    /// Time within which a request head must arrive. It also closes idle connections, because an idle
    /// connection waits for its next request head.
    pub head_timeout: Duration,
    /// Time within which a request body must arrive.
    pub body_timeout: Duration,
    /// Time after which a connection is closed if its caller accepts no byte of the answer.
    pub write_stall_timeout: Duration,
    /// Time limit of a write to the replicated log.
    pub propose_timeout: Duration,
    /// Time after the start of a shutdown at which requests still in flight are cut off.
    pub drain_timeout: Duration,
}

impl Default for FrontLimits {
    fn default() -> Self {
        Self {
            max_connections: 4_096,
            max_head_bytes: 16 * 1_024,
            max_headers: 64,
            max_body_bytes: 1_024 * 1_024,
            body_budget: Arc::new(BodyBudget::new(DEFAULT_BODY_BUDGET_BYTES)),
            head_timeout: Duration::from_secs(10),
            body_timeout: Duration::from_secs(10),
            write_stall_timeout: Duration::from_secs(10),
            propose_timeout: Duration::from_secs(4),
            drain_timeout: Duration::from_secs(30),
        }
    }
}
