use std::{fmt::Debug, hash::Hash};

/// A system whose reachable states can be enumerated.
pub trait Model {
    /// State of the whole system.
    type State: Clone + Eq + Hash;

    /// Transition of the system or of its environment.
    type Step: Clone + Debug;

    /// States in which the system may start.
    fn initial(&self) -> Vec<Self::State>;

    /// Steps that are enabled in a state.
    fn steps(&self, state: &Self::State) -> Vec<Self::Step>;

    /// State after a step; `None` if the step leaves the bounds of the model.
    fn apply(&self, state: &Self::State, step: &Self::Step) -> Option<Self::State>;

    /// Checks the invariant; the error describes what the state violates.
    fn check(&self, state: &Self::State) -> Result<(), String>;
}
