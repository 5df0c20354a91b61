use tarragon_names::Millis;

/// Slowest rate of a worker's clock relative to the leader's, in percent.
pub(crate) const SLOWEST_CLOCK_PERCENT: u64 = 98;

/// Margin added to the computed end of a lease.
pub(crate) const LEASE_MARGIN: Millis = Millis(200);

/// Bound on the leases that a worker may hold from calls that it carried out before the first poll of
/// the present leader for its present incarnation.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct EarlierLease {
    /// Time until which such a call may be carried out, unless the worker refuses it for its token.
    pub(crate) granted_until: Millis,
    /// Longest lease that such a call grants.
    pub(crate) longest: Millis,
}

impl EarlierLease {
    /// Time by which every such lease has ended.
    pub(crate) fn ends_by(&self) -> Millis {
        self.granted_until + longest_on_slow_clock(self.longest)
    }
}

/// Returns the time after which a lease of this length has certainly ended, on the slowest clock of a
/// worker.
pub(crate) fn longest_on_slow_clock(lease: Millis) -> Millis {
    Millis(lease.0 * 100 / SLOWEST_CLOCK_PERCENT) + LEASE_MARGIN
}
