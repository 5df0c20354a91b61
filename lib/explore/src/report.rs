use derive_more::Display;

use crate::{StopReason, Violation};

/// Result of a search.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
#[display("{states} states, depth {depth}, stopped by: {stop_reason}")]
pub struct Report<S> {
    /// Number of distinct states visited.
    pub states: usize,
    /// Greatest number of steps from an initial state to a visited state.
    pub depth: usize,
    /// Reason why the search ended.
    pub stop_reason: StopReason,
    /// The first violation found; no violation has a shorter trace.
    pub violation: Option<Violation<S>>,
}
