//! Scheduling decisions of the leading host.
//!
//! The host passes events to `Scheduler::step` and carries out the actions that the call returns.
//! The crate does no I/O and reads no clock.

mod allocation;
mod explanation;
mod leader_state;
mod sched_action;
mod sched_event;
mod sched_log;
mod scheduler;
mod scheduler_config;
mod scheduler_jobs;
mod scheduler_place;
mod scheduler_preempt;
mod scheduler_relief;
mod scheduler_views;
mod scheduler_workers;
mod worker_state;
mod worker_view;

pub use explanation::Explanation;
pub use sched_action::SchedAction;
pub use sched_event::SchedEvent;
pub use sched_log::SchedLog;
pub use scheduler::Scheduler;
pub use scheduler_config::SchedulerConfig;
pub use worker_view::WorkerView;
