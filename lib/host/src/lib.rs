//! Runtime of an entry host: replica driver, links and scheduler loop.
//!
//! Two threads own what must not be shared: the replica with its disk, and the scheduler. All else
//! runs on the tokio runtime over sharded state. [`run`] puts the parts together.

mod abort_on_panic;
mod apply_sink;
mod catalogue_view;
mod cell_time;
mod clock;
mod control_clients;
mod control_server;
mod daemon;
mod find_leader;
mod host_backend;
mod host_core;
mod inbound;
mod leader_calls;
mod leader_hint;
mod link_meter;
mod links;
mod local_leader;
mod member_repair;
mod metered_stream;
mod metrics_page;
mod order_routes;
mod peer_listener;
mod poll_table;
mod proxy_ports;
mod replica_disk;
mod replica_driver;
mod replica_handle;
mod replica_runtime;
mod scheduler_events;
mod scheduler_handle;
mod scheduler_loop;
mod waiters;
mod worker_gateway;

pub use apply_sink::ApplySink;
pub use catalogue_view::CatalogueView;
pub use cell_time::CellTime;
pub use clock::{Clock, SystemClock};
pub use control_clients::{CallFailure, ControlClients};
pub use control_server::ControlServer;
pub use daemon::{DaemonParts, run};
pub use find_leader::find_leader;
pub use host_backend::HostBackend;
pub use host_core::HostCore;
pub use inbound::{Inbound, InboundReplica};
pub use leader_calls::LeaderCalls;
pub use leader_hint::LeaderHint;
pub use link_meter::LinkMeter;
pub use links::Links;
pub use local_leader::LocalLeader;
pub use member_repair::choose_replacement;
pub use order_routes::OrderRoutes;
pub use peer_listener::{PeerListener, PeerSink};
pub use poll_table::PollTable;
pub use proxy_ports::{ControlPeers, FreshEntries, LogKeys};
pub use replica_disk::{init_replica, initial_member_id, initial_members};
pub use replica_driver::{ReplicaDriver, ReplicaParts};
pub use replica_handle::{ReplicaHandle, ReplicaStatus};
pub use scheduler_handle::{LeaderSink, SchedulerHandle};
pub use scheduler_loop::{SchedulerLoop, SchedulerParts};
pub use worker_gateway::{ReportSink, WorkerGateway};
