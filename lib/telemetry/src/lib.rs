//! Structured events and metrics.
//!
//! Each event is written as one line of JSON; `tarragon-timeline` merges the lines of all processes.
//! Code that emits events depends only on the trait [`EventSink`].

mod event;
mod event_id;
mod event_sink;
mod json_event_sink;
mod line_budget;
mod line_drain;
mod line_queue;
mod link_counters;
mod metrics;
mod null_sink;

pub use event::Event;
pub use event_id::EventId;
pub use event_sink::EventSink;
pub use json_event_sink::JsonEventSink;
pub use line_budget::LineBudget;
pub use link_counters::LinkCounters;
pub use metrics::Metrics;
pub use null_sink::NullSink;
pub use slog::Level;
