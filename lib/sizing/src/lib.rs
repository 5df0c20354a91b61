//! Correction of declared sizes and run times from usage reports.
//!
//! Callers often declare sizes and run times that are far from the actual ones. For each catalogue
//! entry, the estimator learns from the reported usage of that entry's tasks.

mod entry_estimator;
mod estimator;
mod histogram;
mod resource_estimator;
mod usage;

pub use estimator::Estimator;
pub use usage::Usage;
