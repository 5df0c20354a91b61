use tarragon_names::Millis;

/// Time limits for the routing decisions.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct RoutingConfig {
    /// Duration of an executor's lease, counted from the clock reading that its announcement echoes.
    pub executor_lease: Millis,
    /// Time for which an executor that joins gets no request, because its former home host may still
    /// send requests to it.
    pub join_delay: Millis,
    /// Age above which a load summary of another host is ignored.
    pub summary_max_age: Millis,
    /// Time for which a failing executor is avoided at first; doubles up to `avoidance_max`.
    pub avoidance_min: Millis,
    /// Longest time for which a failing executor is avoided before it gets another request.
    pub avoidance_max: Millis,
    /// Time without an announcement after which an executor is removed from the table.
    pub forget_after: Millis,
}

/// Consecutive failures after which an executor gets no requests for a while.
///
/// A backend server that fails at once looks idle and would otherwise attract most requests.
pub(crate) const MAX_CONSECUTIVE_FAILURES: u32 = 3;

impl Default for RoutingConfig {
    fn default() -> Self {
        let executor_lease = Millis(1_500);
        Self {
            executor_lease,
            join_delay: executor_lease.with_clock_margin(),
            summary_max_age: Millis(1_000),
            avoidance_min: Millis(200),
            avoidance_max: Millis(5_000),
            forget_after: Millis(60_000),
        }
    }
}
