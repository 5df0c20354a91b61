//! Agreement on a replicated log as a pure state machine, in the manner of Raft.
//!
//! [`Event`]s go in and [`Action`]s come out; the caller owns the clock, the disk and the network.

mod action;
mod ballot;
mod campaign;
mod change;
mod config;
mod core;
mod entry;
mod event;
mod jitter;
mod leader;
mod log;
mod members;
mod peer_msg;
mod progress;
mod recovered;
mod replica;
mod rounds;
mod status;
mod transfer;

pub use action::Action;
pub use config::Config;
pub use entry::{Entry, Payload};
pub use event::{Event, Token};
pub use members::{Member, Members, Role};
pub use peer_msg::{PeerMsg, SnapshotMeta};
pub use recovered::Recovered;
pub use replica::Replica;
pub use status::{MemberStatus, ReplicaRole};
