use derive_more::Display;

/// What ended an exploration.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum StopReason {
    /// Every state that the model permits was visited.
    #[display("all states visited")]
    Complete,
    /// The greatest depth was reached.
    #[display("depth bound")]
    Depth,
    /// The greatest number of states was reached.
    #[display("state bound")]
    States,
    /// A state broke a rule.
    #[display("violation")]
    Violation,
}
