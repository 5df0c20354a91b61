use crate::Record;

/// An event with its corrected time; its position in the list is its place in the causal order.
#[derive(Clone, Debug, PartialEq)]
pub struct TimelineEvent {
    /// The event as its process logged it.
    pub record: Record,
    /// Time in milliseconds, corrected for clock differences between processes.
    pub corrected_ms: i64,
}
