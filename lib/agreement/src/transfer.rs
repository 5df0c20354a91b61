use tarragon_names::{MemberId, Millis};

/// A transfer of leadership in progress, during which proposals are refused.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(crate) struct Transfer {
    pub(crate) target: MemberId,
    pub(crate) deadline: Millis,
    /// Whether `PeerMsg::TimeoutNow` was sent to the target; the lease is no longer valid then.
    pub(crate) is_timeout_now_sent: bool,
}
