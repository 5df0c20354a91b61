use derive_more::Display;

use crate::{Bound, Violation};

/// Result of an exploration.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
#[display("{states} states, depth {depth}, stopped by: {bound}")]
pub struct Report<S> {
    /// Distinct states visited.
    pub states: usize,
    /// Greatest number of steps from an initial state.
    pub depth: usize,
    /// What ended the exploration.
    pub bound: Bound,
    /// The first violation found.
    pub violation: Option<Violation<S>>,
}
