use std::sync::Arc;

use tarragon_catalogue::CatalogueEntry;
use tarragon_codes::{Code, Failure, Outcome};
use tarragon_names::JobName;
use tarragon_proxy::CatalogueLookup;

use crate::CatalogueView;
use tarragon_replica::Clock;

/// Time after which callers are told to retry while the catalogue is not fresh, in milliseconds.
const STALE_CATALOGUE_RETRY_MS: u64 = 1_000;

/// Resolves names by this host's copy of the catalogue, for the request path.
#[derive(Debug)]
pub struct CatalogueEntrySource {
    /// Copy of the catalogue, which resolves names only while it is fresh.
    pub catalogue_view: Arc<CatalogueView>,
    /// Clock by which freshness is judged.
    pub clock: Arc<dyn Clock>,
}

impl CatalogueLookup for CatalogueEntrySource {
    fn resolve(&self, name: &JobName) -> Outcome<Arc<CatalogueEntry>> {
        let Some(catalogue) = self.catalogue_view.fresh(self.clock.now()) else {
            return Err(Failure::of(Code::CatalogueNotFresh).retry_after(STALE_CATALOGUE_RETRY_MS));
        };
        catalogue.resolve(name).cloned().ok_or_else(|| {
            Failure::new(
                Code::NoEntry,
                format!("no catalogue entry covers the name {name}"),
            )
        })
    }
}
