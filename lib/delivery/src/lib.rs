//! Decisions about the delivery of the leader's orders to the workers.
//!
//! [`DeliveryRoutes`] chooses the host that calls each worker on behalf of the leader, and
//! [`OrderBudget`] limits the calls that a host has open at the same time. Neither reads a clock or
//! opens a connection.

mod budget_limits;
mod delivery_limits;
mod delivery_routes;
mod order_budget;
mod urgency;

pub use budget_limits::BudgetLimits;
pub use delivery_limits::DeliveryLimits;
pub use delivery_routes::DeliveryRoutes;
pub use order_budget::{Admission, OrderBudget};
pub use urgency::Urgency;
