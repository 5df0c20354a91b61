//! Names, identifiers and resource amounts shared by every crate.
//!
//! All types are plain values: none owns an open resource or reads a clock.

mod attempt;
mod class;
mod fence;
mod host_capacity;
mod id;
mod job_id;
mod millis;
mod name;
mod resources;
mod session;
mod task_id;
mod typed_name;
mod workload;

pub use attempt::Attempt;
pub use class::Class;
pub use fence::Fence;
pub use host_capacity::HostCapacity;
pub use id::{LogIndex, MemberId, Revision, Term};
pub use job_id::JobId;
pub use millis::{LEASE_MARGIN, MAX_CLOCK_DRIFT_PERCENT, Millis};
pub use name::Name;
pub use resources::Resources;
pub use session::Session;
pub use task_id::TaskId;
pub use typed_name::{
    DomainName, ExecutorName, HostName, IdempotencyKey, JobName, PoolName, RackName, RegionName,
    TeamName, WorkerName,
};
pub use workload::Workload;
