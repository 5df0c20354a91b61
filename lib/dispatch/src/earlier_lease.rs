use tarragon_names::Millis;

/// Bound on the leases that a worker may hold from calls that it carried out before the first poll of
/// the present leader for its present incarnation.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct EarlierLease {
    /// Time until which such a call may be carried out, unless the worker refuses it for its token.
    pub(crate) granted_until: Millis,
    /// Longest lease that such a call grants.
    pub(crate) longest: Millis,
}
