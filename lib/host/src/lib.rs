//! Runtime of an entry host: replica driver, links to other hosts and scheduler loop.
//!
//! One thread owns the replica with its data folder, another owns the scheduler; no other thread
//! changes their state. All other parts run as tokio tasks over sharded state. [`run`] creates and
//! connects the parts.

mod catalogue_entry_source;
mod catalogue_view;
mod cell_clock;
mod cell_state_machine;
mod control_clients;
mod control_peers;
mod control_server;
mod daemon;
mod find_leader;
mod host_backend;
mod host_core;
mod inbound_router;
mod leader_client;
mod leader_sink;
mod link_meter;
mod local_leader;
mod member_repair;
mod metered_stream;
mod metrics_page;
mod order_routes;
mod poll_table;
mod replica_disk;
mod replica_runtime;
mod replicated_key_log;
mod scheduler_events;
mod scheduler_handle;
mod scheduler_loop;
mod worker_gateway;

pub use catalogue_entry_source::CatalogueEntrySource;
pub use catalogue_view::CatalogueView;
pub use cell_clock::CellClock;
pub use cell_state_machine::CellStateMachine;
pub use control_clients::{CallFailure, ControlClients};
pub use control_peers::ControlPeers;
pub use control_server::ControlServer;
pub use daemon::{DaemonParts, run};
pub use find_leader::find_leader;
pub use host_backend::HostBackend;
pub use host_core::HostCore;
pub use inbound_router::{InboundRouter, ReplicaEndpoint};
pub use leader_client::LeaderClient;
pub use leader_sink::LeaderSink;
pub use link_meter::LinkMeter;
pub use local_leader::LocalLeader;
pub use order_routes::OrderRoutes;
pub use poll_table::PollTable;
pub use replica_disk::{init_replica, initial_member_id, initial_members};
pub use replicated_key_log::ReplicatedKeyLog;
pub use scheduler_handle::SchedulerHandle;
pub use scheduler_loop::{SchedulerLoop, SchedulerParts};
pub use worker_gateway::{ReportSink, WorkerGateway};
