use std::sync::Arc;

use tarragon_catalogue::CatalogueEntry;
use tarragon_codes::{Code, Failure, Outcome};
use tarragon_names::JobName;
use tarragon_proxy::CatalogueLookup;

use crate::CatalogueView;
use tarragon_replica::Clock;

/// Wait told to callers while the catalogue is not fresh, in milliseconds.
const STALE_RETRY_MS: u64 = 1_000;

/// The host's copy of the catalogue, for the request path.
#[derive(Debug)]
pub struct FreshEntries {
    /// The copy.
    pub view: Arc<CatalogueView>,
    /// Source of time.
    pub clock: Arc<dyn Clock>,
}

impl CatalogueLookup for FreshEntries {
    fn resolve(&self, name: &JobName) -> Outcome<Arc<CatalogueEntry>> {
        let Some(catalogue) = self.view.fresh(self.clock.now()) else {
            return Err(Failure::of(Code::CatalogueNotFresh).retry_after(STALE_RETRY_MS));
        };
        catalogue.resolve(name).cloned().ok_or_else(|| {
            Failure::new(
                Code::NoEntry,
                format!("no catalogue entry covers the name {name}"),
            )
        })
    }
}
