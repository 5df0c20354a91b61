//! Runtime of an entry host on a platform where the scheduler calls the workers.
//!
//! Every host accepts requests of callers and operators through [`EntryHost`]; the leader decides
//! on them. The hosts with a data folder hold replicas of the state. The traits [`WorkerCalls`],
//! [`AdviceCalls`] and [`MachineCalls`] hide the interfaces of the platform.

mod active_replica;
mod available_tasks;
mod budgeted_calls;
mod deliverer;
mod delivery;
mod dispatch_handle;
mod dispatch_loop;
mod dispatch_sink;
mod entry_config;
mod entry_host;
mod entry_log;
mod entry_metrics;
mod entry_timing;
mod external_services;
mod formation;
mod group_formation;
mod heartbeat_tracker;
mod host_directory;
mod inbound;
mod leader_calls;
mod leader_service;
mod link_monitor;
mod mesh;
mod order_batch;
mod pending_orders;
mod refused_calls;
mod reply;
mod request;
mod task_admission;
mod team_gauges;
mod unstarted_jobs;
mod upkeep_loop;
mod voter_manager;
mod worker_order;
mod workflow_log;

pub use entry_config::EntryConfig;
pub use entry_host::{EntryHost, EntryParts};
pub use entry_metrics::EntryMetrics;
pub use entry_timing::{Bounds, EntryTiming};
pub use external_services::{
    AdviceCalls, ExternalServices, MachineCalls, MachineOutcome, WorkerCalls,
};
pub use formation::{bootstrap_members, member_id_of, open_store};
pub use refused_calls::{RefusalCause, RefusedCalls};
pub use reply::{MemberView, Reply};
pub use request::{Hello, Request, WorkerReport};
pub use team_gauges::TeamGauges;
pub use workflow_log::WorkflowLog;
