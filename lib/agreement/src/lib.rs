//! Agreement on a replicated log as a pure state machine, in the manner of Raft.
//!
//! [`Event`]s go in and [`Action`]s come out; the caller owns the clock, the disk and the network.
//! Its part of the contract:
//!
//! - Actions are carried out in order. Writes may be synced later and together, but each is
//!   reported only once it is synced, and a failed sync ends the process.
//! - A message is handed in only if it was addressed to the identity of this replica, not only to
//!   its host: a host that lost its disk has another identity.
//! - [`Event::Tick`] is the first event, so that the time of the start is known. While it has not
//!   passed `election_min` from there, the replica votes for no one.
//! - `lease_valid` is asked with a clock reading taken after the state to be served was read.
//! - The founders of a group start from a snapshot at index 0, term 0, that holds the first member
//!   list and an empty state. A host that joins starts empty and asks the leader for
//!   [`Event::AddLearner`].

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
mod member;
mod members;
mod payload;
mod peer_msg;
mod progress;
mod recovered;
mod replica;
mod role;
mod rounds;
mod snapshot_meta;
mod status;
mod transfer;

pub use action::Action;
pub use config::Config;
pub use entry::Entry;
pub use event::{Event, Token};
pub use member::Member;
pub use members::Members;
pub use payload::Payload;
pub use peer_msg::PeerMsg;
pub use recovered::Recovered;
pub use replica::Replica;
pub use role::Role;
pub use snapshot_meta::SnapshotMeta;
pub use status::{MemberStatus, ReplicaRole};
