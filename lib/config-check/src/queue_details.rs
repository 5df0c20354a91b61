use tarragon_names::{Millis, Name};

/// Settings of a queue that are not part of the replicated model.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct QueueDetails {
    /// Name that the operator gives to the route of the queue.
    pub route: Name,
    /// Time limit of a request on the route.
    pub time_limit: Millis,
    /// Whether requests without a key are accepted.
    pub allows_anonymous: bool,
}
