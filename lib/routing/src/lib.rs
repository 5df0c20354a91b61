//! Routing decisions for service requests.
//!
//! The caller passes in the time as [`tarragon_names::Millis`], so tests can run every decision with
//! a simulated clock. [`RegisteredExecutor`] tracks the lease and the slots of one executor,
//! [`ExecutorTable`] holds all executors of a home host, and [`Router`] chooses between these and
//! other home hosts.

mod admission_queue;
mod announcement;
mod announcement_reply;
mod executor_table;
mod executor_view;
mod grant;
mod load_summary;
mod registered_executor;
mod remote_loads;
mod request_end;
mod request_ids;
mod retry_budget;
mod router;
mod routing_config;
mod running_requests;

pub use admission_queue::AdmissionQueue;
pub use announcement::Announcement;
pub use announcement_reply::AnnouncementReply;
pub use executor_table::ExecutorTable;
pub use executor_view::ExecutorView;
pub use grant::Grant;
pub use load_summary::{LoadSummary, PoolLoad};
pub use registered_executor::RegisteredExecutor;
pub use remote_loads::RemoteLoads;
pub use request_end::RequestEnd;
pub use request_ids::RequestIds;
pub use retry_budget::RetryBudget;
pub use router::{Router, RoutingDecision, Target};
pub use routing_config::RoutingConfig;
pub use running_requests::RunningRequests;
