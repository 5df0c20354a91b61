use std::fmt::Debug;

use crate::{Event, EventId};

/// Destination of events.
pub trait EventSink: Debug + Send + Sync {
    /// Records an event without blocking and returns its identifier, to be sent along with messages.
    fn emit(&self, event: &Event) -> EventId;
}
