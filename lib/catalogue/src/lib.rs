//! Catalogue entries, their validation and the freshness lease.
//!
//! [`FreshnessLease`] is the host's side of the lease and [`FreshnessTracker`] the leader's side.

mod catalogue;
mod catalogue_entry;
mod constants;
mod entry_change;
mod freshness_lease;
mod freshness_tracker;
mod limits;
mod pattern;

pub use catalogue::Catalogue;
pub use catalogue_entry::CatalogueEntry;
pub use constants::{
    FRESHNESS_LEASE, FRESHNESS_POLL_INTERVAL, MAX_REQUEST_TIMEOUT, MAX_REVISIONS_PER_ENTRY,
    MAX_TASKS_PER_JOB, MIN_REQUEST_TIMEOUT,
};
pub use entry_change::EntryChange;
pub use freshness_lease::FreshnessLease;
pub use freshness_tracker::FreshnessTracker;
pub use limits::Limits;
pub use pattern::Pattern;
