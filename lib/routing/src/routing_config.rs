use tarragon_names::Millis;

/// Times that the routing decisions work with.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct RoutingConfig {
    /// Length of an executor's lease, from the clock reading that its announcement echoes.
    pub executor_lease: Millis,
    /// Time for which a newcomer gets nothing, because its former home may still send to it.
    pub newcomer_wait: Millis,
    /// Age past which a load summary of another host is not used.
    pub summary_max_age: Millis,
    /// First pause after failures in a row; it doubles up to `avoid_max`.
    pub avoid_first: Millis,
    /// Longest pause after failures in a row.
    pub avoid_max: Millis,
    /// Time after which a silent executor is forgotten.
    pub forget_after: Millis,
}

/// Failures in a row after which an executor gets nothing for a while.
///
/// A backend server that fails at once looks idle and would attract most requests.
pub(crate) const AVOID_AFTER: u32 = 3;

impl Default for RoutingConfig {
    fn default() -> Self {
        let executor_lease = Millis(1_500);
        Self {
            executor_lease,
            newcomer_wait: executor_lease.with_clock_margin(),
            summary_max_age: Millis(1_000),
            avoid_first: Millis(200),
            avoid_max: Millis(5_000),
            forget_after: Millis(60_000),
        }
    }
}
