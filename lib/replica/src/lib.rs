//! Runtime of a replica: the thread that owns the consensus state machine and the log store, and
//! the links between hosts.
//!
//! [`ReplicaDriver`] runs any [`StateMachine`]. Other threads reach it through a
//! [`ReplicaHandle`].

mod abort_on_panic;
mod apply_sink;
mod clock;
mod driver;
mod growth;
mod growth_room;
mod handle;
mod input;
mod lag_monitor;
mod leader_lease;
mod link_observer;
mod link_queue;
mod link_timing;
mod links;
mod peer_listener;
mod process_seed;
mod proposal_batch;
mod state_limits;
mod state_machine;
mod status;
mod store_writer;
mod waiters;

pub use abort_on_panic::AbortOnPanic;
pub use apply_sink::ApplySink;
pub use clock::{Clock, SystemClock};
pub use driver::{ReplicaDriver, ReplicaParts};
pub use growth::Growth;
pub use growth_room::GrowthRoom;
pub use handle::ReplicaHandle;
pub use leader_lease::LeaderLease;
pub use link_observer::LinkObserver;
pub use link_timing::LinkTiming;
pub use links::Links;
pub use peer_listener::{PeerListener, PeerSink};
pub use process_seed::process_seed;
pub use state_limits::StateLimits;
pub use state_machine::StateMachine;
pub use status::ReplicaStatus;
pub use store_writer::StoreWriter;
