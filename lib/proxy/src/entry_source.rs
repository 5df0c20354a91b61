use std::{fmt::Debug, sync::Arc};

use tarragon_catalogue::CatalogueEntry;
use tarragon_codes::Outcome;
use tarragon_names::JobName;

/// The catalogue as this host may decide by it.
pub trait EntrySource: Debug + Send + Sync {
    /// The entry that covers a name.
    ///
    /// Fails with code 5103 while the catalogue is not proven fresh, and with 2101 if no entry
    /// covers the name.
    fn resolve(&self, name: &JobName) -> Outcome<Arc<CatalogueEntry>>;
}
