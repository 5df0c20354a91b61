use crate::{Event, EventSink, Mark};

/// Sink that drops every event.
#[derive(Clone, Copy, Debug, Default)]
pub struct NullSink;

impl EventSink for NullSink {
    fn emit(&self, _event: &Event) -> Mark {
        Mark::default()
    }
}
