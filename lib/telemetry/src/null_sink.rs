use crate::{Event, EventId, EventSink};

/// Sink that discards every event.
#[derive(Clone, Copy, Debug, Default)]
pub struct NullSink;

impl EventSink for NullSink {
    fn emit(&self, _event: &Event) -> EventId {
        EventId::default()
    }
}
