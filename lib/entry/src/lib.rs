//! Runtime of an entry host on a platform whose workers are called.
//!
//! Every host answers callers and operators through [`EntryHost`]; the leading one decides. Hosts
//! with a data folder hold the replicated state. What the platform's interfaces look like is
//! hidden behind the traits [`WorkerCalls`], [`AdviceCalls`] and [`MachineCalls`].

mod at_work;
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
mod heartbeats;
mod leader_desk;
mod mesh;
mod mesh_meter;
mod presence;
mod reply;
mod request;
mod upkeep_loop;
mod voters;
mod workflow_log;

pub use entry_config::EntryConfig;
pub use entry_host::{EntryHost, EntryParts};
pub use entry_metrics::EntryMetrics;
pub use entry_timing::{Bounds, EntryTiming};
pub use external_services::{
    AdviceCalls, ExternalServices, MachineCalls, MachineOutcome, WorkerCalls,
};
pub use formation::{bootstrap_members, member_id_of, open_store};
pub use reply::{MemberView, Reply};
pub use request::{Hello, Request, WorkerReport};
pub use workflow_log::WorkflowLog;
