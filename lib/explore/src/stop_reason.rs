use derive_more::Display;

/// Reason why a search ended.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum StopReason {
    /// Every reachable state of the model was visited.
    #[display("all states visited")]
    Complete,
    /// The search reached `Explorer::max_depth`.
    #[display("depth bound")]
    Depth,
    /// The search reached `Explorer::max_states`.
    #[display("state bound")]
    States,
    /// A state violates the invariant.
    #[display("violation")]
    Violation,
}
