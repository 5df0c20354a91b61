//! Consensus on a replicated log as a pure state machine, based on Raft.
//!
//! [`Replica::step`] takes an [`Event`] and returns [`Action`]s; the caller owns the clock, the
//! disk and the network. The caller must follow these rules:
//!
//! - Execute actions in order. Writes may be synced later and in groups, but report each write only
//!   after its sync, and end the process if a sync fails.
//! - Pass a received message to the replica only if it was addressed to the identity of this
//!   replica, not just to its host: a host that lost its disk has a new identity.
//! - Send [`Event::Tick`] as the first event; it sets the start time. Until `election_min` after
//!   the start time, the replica grants no votes.
//! - Read the clock for [`Replica::lease_valid`] after reading the state to be served.
//! - Start each bootstrap member of a group from a snapshot at index 0, term 0, that holds the
//!   first member list and an empty state. A host that joins later starts with an empty disk and
//!   asks the leader to process an [`Event::AddLearner`].

mod action;
mod campaign;
mod config;
mod core;
mod entry;
mod event;
mod heartbeat_rounds;
mod jitter;
mod lag_change;
mod lag_tracker;
mod leader;
mod log;
mod member;
mod member_lag;
mod member_progress;
mod members;
mod payload;
mod peer_msg;
mod pending_member_change;
mod progress;
mod recovered;
mod replica;
mod replication_status;
mod role;
mod snapshot_meta;
mod status;
mod transfer;
mod vote_state;

pub use action::Action;
pub use config::Config;
pub use entry::Entry;
pub use event::{Event, Token};
pub use lag_change::LagChange;
pub use lag_tracker::LagTracker;
pub use member::Member;
pub use member_progress::MemberProgress;
pub use members::Members;
pub use payload::Payload;
pub use peer_msg::PeerMsg;
pub use recovered::Recovered;
pub use replica::Replica;
pub use replication_status::ReplicationStatus;
pub use role::Role;
pub use snapshot_meta::SnapshotMeta;
pub use status::{MemberStatus, ReplicaRole};
