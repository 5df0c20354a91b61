use crate::{Change, Subject};

/// A difference between a configuration and the one in force.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Difference {
    /// What differs.
    pub subject: Subject,
    /// How it differs.
    pub change: Change,
}
