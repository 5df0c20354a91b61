//! Catalogue entries, their checks and the freshness lease.
//!
//! [`Freshness`] is the host's side of the lease and [`InForce`] the leader's side.

mod catalogue;
mod catalogue_entry;
mod change;
mod constants;
mod freshness;
mod in_force;
mod limits;
mod pattern;

pub use catalogue::Catalogue;
pub use catalogue_entry::CatalogueEntry;
pub use change::Change;
pub use constants::{
    FRESH_BEAT, FRESH_LEASE, HISTORY_KEPT, MAX_REQUEST_TIMEOUT, MAX_TASKS_OF_JOB,
    MIN_REQUEST_TIMEOUT,
};
pub use freshness::Freshness;
pub use in_force::InForce;
pub use limits::Limits;
pub use pattern::Pattern;
