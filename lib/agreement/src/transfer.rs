use tarragon_names::{MemberId, Millis};

/// A transfer of leadership under way. No proposal is taken meanwhile.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(crate) struct Transfer {
    pub(crate) target: MemberId,
    pub(crate) deadline: Millis,
    /// Whether the target was asked to stand; the lease is no longer valid then.
    pub(crate) sent: bool,
}
