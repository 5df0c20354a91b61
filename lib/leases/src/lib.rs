//! Worker leases with fencing sessions.
//!
//! [`WorkerReport`] and [`WorkerOrder`] are the messages between a worker and the leading host,
//! independent of their encoding. [`WorkerLeases`] implements the leader's side of the protocol and
//! [`LeaseGuard`] the worker's side.

mod constants;
mod guard_action;
mod guard_config;
mod guard_event;
mod lease_guard;
mod running_task;
mod task_end;
mod task_listing;
mod task_spec;
mod worker_leases;
mod worker_order;
mod worker_report;

pub use constants::{WORKER_HEARTBEAT_INTERVAL, WORKER_LEASE_DURATION};
pub use guard_action::GuardAction;
pub use guard_config::GuardConfig;
pub use guard_event::GuardEvent;
pub use lease_guard::LeaseGuard;
pub use running_task::RunningTask;
pub use task_end::TaskEnd;
pub use task_spec::TaskSpec;
pub use worker_leases::{HeartbeatOutcome, WorkerLeases};
pub use worker_order::WorkerOrder;
pub use worker_report::WorkerReport;
