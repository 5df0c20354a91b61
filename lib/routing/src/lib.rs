//! Routing decisions for service requests.
//!
//! Time is handed in as [`tarragon_names::Millis`], so every decision can be tested with a moved
//! clock. [`RegisteredExecutor`] holds the rules of one executor, [`ExecutorTable`] those of all
//! executors of a home host, [`Router`] chooses between them and other home hosts.

mod admission;
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
mod running;

pub use admission::Admission;
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
pub use router::{Choice, Router, Target};
pub use routing_config::RoutingConfig;
pub use running::Running;
