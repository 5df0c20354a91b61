//! Correction of declared sizes and run times from usage reports.
//!
//! Callers declare sizes and run times that are often far off. Each catalogue entry has an
//! estimator that is fed by what its tasks used.

mod amount;
mod entry_usage;
mod estimator;
mod histogram;
mod usage;

pub use estimator::Estimator;
pub use usage::Usage;
