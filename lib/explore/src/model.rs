use std::{fmt::Debug, hash::Hash};

/// A system whose states can be enumerated.
pub trait Model {
    /// One state of the whole system.
    type State: Clone + Eq + Hash;

    /// One step that the system or its surroundings can take.
    type Step: Clone + Debug;

    /// States from which the system starts.
    fn initial(&self) -> Vec<Self::State>;

    /// Steps that are possible in a state.
    fn steps(&self, state: &Self::State) -> Vec<Self::Step>;

    /// The state after a step, or `None` if the step leads beyond the bounds of the model.
    fn apply(&self, state: &Self::State, step: &Self::Step) -> Option<Self::State>;

    /// The rule that a state breaks, if any.
    fn check(&self, state: &Self::State) -> Result<(), String>;
}
