//! Merge of the logs of all processes into one order that respects cause.
//!
//! The clocks of hosts may differ by seconds, so time alone gives a wrong order. [`Merge`] keeps
//! the order within each process, puts an event after the event of the message it follows, and uses
//! time, corrected by these relations, only between events that are not related.

mod edges;
mod event_id;
mod filter;
mod merge;
mod merged;
mod offsets;
mod picture;
mod record;
mod text;

pub use event_id::EventId;
pub use filter::Filter;
pub use merge::Merge;
pub use merged::Merged;
pub use picture::{html, svg};
pub use record::Record;
pub use text::{json, text};
