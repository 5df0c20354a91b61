//! Merge of the logs of all processes into one causal order.
//!
//! The clocks of hosts may differ by seconds, so sorting by time alone can place an effect before its
//! cause. [`LogMerger`] keeps the order within each process, places an event after the event that
//! caused it, and sorts unrelated events by time, corrected by these causal relations.

mod edges;
mod event_id;
mod filter;
mod log_merger;
mod offsets;
mod picture;
mod record;
mod text;
mod timeline_event;

pub use event_id::EventId;
pub use filter::Filter;
pub use log_merger::LogMerger;
pub use picture::{html, svg};
pub use record::Record;
pub use text::{json, text};
pub use timeline_event::TimelineEvent;
