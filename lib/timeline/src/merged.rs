use crate::Record;

/// An event in its place.
#[derive(Clone, Debug, PartialEq)]
pub struct Merged {
    /// The event.
    pub record: Record,
    /// Corrected time in milliseconds.
    pub at: i64,
}
