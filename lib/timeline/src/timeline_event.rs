use crate::Record;

/// An event in its place.
#[derive(Clone, Debug, PartialEq)]
pub struct TimelineEvent {
    /// The event.
    pub record: Record,
    /// Corrected time in milliseconds.
    pub corrected_ms: i64,
}
