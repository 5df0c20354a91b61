//! Breadth-first explorer of state spaces, for tests only.
//!
//! A [`Model`] names its states and steps; [`Explorer`] visits every state within its bounds and
//! returns the shortest trace to a state that breaks a rule.

mod bound;
mod explorer;
mod model;
mod report;
mod violation;

pub use bound::Bound;
pub use explorer::Explorer;
pub use model::Model;
pub use report::Report;
pub use violation::Violation;
