//! Attribution of failures to workers or to jobs.
//!
//! A failed task counts against its worker and its job. [`HealthTable`] derives a
//! [`HealthDecision`] from the counts; the caller carries out and logs the decisions.

mod health_config;
mod health_decision;
mod health_table;
mod job_failures;
mod worker_health;

pub use health_config::HealthConfig;
pub use health_decision::HealthDecision;
pub use health_table::HealthTable;
