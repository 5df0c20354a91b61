//! Breadth-first model checker, for tests only.
//!
//! A [`Model`] defines initial states, steps and an invariant. [`Explorer`] visits every state within
//! its bounds and returns the shortest trace to a state that violates the invariant.

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
