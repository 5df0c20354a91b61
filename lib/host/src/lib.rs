//! Runtime of an entry host: replica driver, links and scheduler loop.
//!
//! Two threads own what must not be shared: the replica with its disk, and the scheduler. All else
//! runs on the tokio runtime over sharded state. [`run`] puts the parts together.

mod catalogue_view;
mod cell_log;
mod cell_time;
mod control_clients;
mod control_peers;
mod control_server;
mod daemon;
mod find_leader;
mod fresh_entries;
mod host_backend;
mod host_core;
mod inbound;
mod leader_calls;
mod leader_sink;
mod link_meter;
mod local_leader;
mod log_keys;
mod member_repair;
mod metered_stream;
mod metrics_page;
mod order_routes;
mod poll_table;
mod replica_disk;
mod replica_runtime;
mod scheduler_events;
mod scheduler_handle;
mod scheduler_loop;
mod worker_gateway;

pub use catalogue_view::CatalogueView;
pub use cell_log::CellLog;
pub use cell_time::CellTime;
pub use control_clients::{CallFailure, ControlClients};
pub use control_peers::ControlPeers;
pub use control_server::ControlServer;
pub use daemon::{DaemonParts, run};
pub use find_leader::find_leader;
pub use fresh_entries::FreshEntries;
pub use host_backend::HostBackend;
pub use host_core::HostCore;
pub use inbound::{Inbound, InboundReplica};
pub use leader_calls::LeaderCalls;
pub use leader_sink::LeaderSink;
pub use link_meter::LinkMeter;
pub use local_leader::LocalLeader;
pub use log_keys::LogKeys;
pub use order_routes::OrderRoutes;
pub use poll_table::PollTable;
pub use replica_disk::{init_replica, initial_member_id, initial_members};
pub use scheduler_handle::SchedulerHandle;
pub use scheduler_loop::{SchedulerLoop, SchedulerParts};
pub use worker_gateway::{ReportSink, WorkerGateway};
