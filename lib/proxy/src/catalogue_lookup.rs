use std::{fmt::Debug, sync::Arc};

use tarragon_catalogue::CatalogueEntry;
use tarragon_codes::Outcome;
use tarragon_names::JobName;

/// Access to the catalogue, as far as this host knows that its copy is current.
pub trait CatalogueLookup: Debug + Send + Sync {
    /// Returns the catalogue entry whose pattern matches the name.
    ///
    /// Fails with code 5103 while this host cannot prove that its catalogue is fresh, and with code
    /// 2101 if no entry matches the name.
    fn resolve(&self, name: &JobName) -> Outcome<Arc<CatalogueEntry>>;
}
