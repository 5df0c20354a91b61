use derive_more::Display;

use crate::{StopReason, Violation};

/// Result of an exploration.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
#[display("{states} states, depth {depth}, stopped by: {stop_reason}")]
pub struct Report<S> {
    /// Distinct states visited.
    pub states: usize,
    /// Greatest number of steps from an initial state.
    pub depth: usize,
    /// What ended the exploration.
    pub stop_reason: StopReason,
    /// The first violation found.
    pub violation: Option<Violation<S>>,
}
