//! Breadth-first explorer of state spaces, for tests only.
//!
//! A [`Model`] names its states and steps; [`Explorer`] visits every state within its bounds and
//! returns the shortest trace to a state that breaks a rule.

mod explorer;
mod model;
mod report;
mod stop_reason;
mod violation;

pub use explorer::Explorer;
pub use model::Model;
pub use report::Report;
pub use stop_reason::StopReason;
pub use violation::Violation;
