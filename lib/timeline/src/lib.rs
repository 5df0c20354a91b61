//! Merge of the logs of all processes into one order that respects cause.
//!
//! The clocks of hosts may differ by seconds, so time alone gives a wrong order. [`LogMerger`] keeps
//! the order within each process, puts an event after the event of the message it follows, and uses
//! time, corrected by these relations, only between events that are not related.

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
