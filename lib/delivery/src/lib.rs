//! Decisions about the traffic between the leader and the workers through other hosts.
//!
//! [`DeliveryRoutes`] chooses the host that calls each worker on behalf of the leader,
//! [`OrderBudget`] limits the calls that a host has open at the same time, [`DeliveryCounters`] shows
//! which hosts are too slow, and [`HeartbeatCache`] knows which heartbeats the leader need not see.
//! None of them reads a clock or opens a connection.

mod budget_limits;
mod delivery_counters;
mod delivery_host;
mod delivery_limits;
mod delivery_routes;
mod heartbeat_cache;
mod host_speed;
mod order_budget;
mod order_route;
mod repeat_budget;
mod urgency;

pub use budget_limits::BudgetLimits;
pub use delivery_counters::{DeliveryCounters, HostCounts};
pub use delivery_limits::DeliveryLimits;
pub use delivery_routes::DeliveryRoutes;
pub use heartbeat_cache::HeartbeatCache;
pub use host_speed::HostSpeed;
pub use order_budget::{Admission, OrderBudget};
pub use order_route::OrderRoute;
pub use repeat_budget::RepeatBudget;
pub use urgency::Urgency;
