//! Catalogue entries, their checks and the freshness lease.

mod catalogue_entry;
mod limits;
mod pattern;

pub use catalogue_entry::CatalogueEntry;
pub use limits::Limits;
pub use pattern::Pattern;
