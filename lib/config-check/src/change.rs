use crate::{Field, Value};

/// Change of a part of a configuration.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Change {
    /// The configuration in force does not have it.
    Added,
    /// Only the configuration in force has it.
    Removed,
    /// A field has another value.
    Field {
        /// The field.
        field: Field,
        /// Value in force.
        before: Value,
        /// Value in the configuration.
        after: Value,
    },
    /// The keys of a team differ. Keys are secret, so only their numbers are given.
    Keys {
        /// Number of keys that the configuration in force does not have.
        added: usize,
        /// Number of keys that only the configuration in force has.
        removed: usize,
    },
}
