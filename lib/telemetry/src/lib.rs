//! Structured events and metrics.
//!
//! Events are JSON lines, one an event, that `tarragon-timeline` merges over all processes. Code
//! that emits them knows only the trait [`EventSink`].

mod event;
mod event_sink;
mod events;
mod line_budget;
mod line_drain;
mod line_queue;
mod link_counters;
mod mark;
mod metrics;
mod null_sink;

pub use event::Event;
pub use event_sink::EventSink;
pub use events::Events;
pub use line_budget::LineBudget;
pub use link_counters::LinkCounters;
pub use mark::Mark;
pub use metrics::Metrics;
pub use null_sink::NullSink;
pub use slog::Level;
