//! Agreement on a replicated log as a pure state machine, in the manner of Raft.
//!
//! [`Event`]s go in and [`Action`]s come out; the caller owns the clock, the disk and the network.

mod action;
mod entry;
mod event;
mod members;
mod peer_msg;
mod recovered;

pub use action::Action;
pub use entry::{Entry, Payload};
pub use event::{Event, Token};
pub use members::{Member, Members, Role};
pub use peer_msg::{PeerMsg, SnapshotMeta};
pub use recovered::Recovered;
