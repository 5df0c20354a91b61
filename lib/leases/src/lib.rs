//! Worker leases with fencing sessions.
//!
//! [`WorkerReport`] and [`WorkerOrder`] are the messages between a worker and the leading host,
//! independent of their encoding.

mod constants;
mod running_task;
mod task_end;
mod task_spec;
mod worker_order;
mod worker_report;

pub use constants::{WORKER_BEAT, WORKER_LEASE};
pub use running_task::RunningTask;
pub use task_end::TaskEnd;
pub use task_spec::TaskSpec;
pub use worker_order::WorkerOrder;
pub use worker_report::WorkerReport;
