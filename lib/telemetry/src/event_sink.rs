use std::fmt::Debug;

use crate::{Event, Mark};

/// Where events go.
pub trait EventSink: Debug + Send + Sync {
    /// Takes an event without waiting and gives its place in the process.
    fn emit(&self, event: &Event) -> Mark;
}
