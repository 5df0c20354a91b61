use std::sync::Arc;

use arc_swap::ArcSwap;
use parking_lot::Mutex;
use tarragon_catalogue::{Catalogue, EntryChange, FreshnessLease};
use tarragon_names::{HostName, Millis, Revision};
use tarragon_wire::control::{CatalogueGrant, CataloguePoll};

/// This host's copy of the catalogue with its freshness lease.
#[derive(Debug)]
pub struct CatalogueView {
    host: HostName,
    catalogue: ArcSwap<Catalogue>,
    freshness: Mutex<FreshnessLease>,
}

impl CatalogueView {
    /// An empty copy that is not fresh.
    pub fn new(host: HostName) -> Self {
        Self {
            host,
            catalogue: ArcSwap::default(),
            freshness: Mutex::new(FreshnessLease::default()),
        }
    }

    /// The copy, if this host may decide by it.
    pub fn fresh(&self, now: Millis) -> Option<Arc<Catalogue>> {
        // The lease is read first: a later change of the copy can only make it newer.
        self.freshness
            .lock()
            .is_fresh(now)
            .then(|| self.catalogue.load_full())
    }

    /// Revision of the copy.
    pub fn revision(&self) -> Revision {
        self.catalogue.load().revision()
    }

    /// Starts a poll.
    pub fn poll(&self, now: Millis) -> CataloguePoll {
        self.freshness.lock().poll_sent(now);
        CataloguePoll {
            host: self.host.clone(),
            revision: self.revision(),
            clock: now,
        }
    }

    /// Takes over the changes of a grant and renews the lease.
    pub fn granted(&self, grant: CatalogueGrant) {
        let mut freshness = self.freshness.lock();
        if !grant.entries.is_empty() || grant.revision > self.revision() {
            let mut next = Catalogue::clone(&self.catalogue.load());
            for (pattern, revision, entry) in grant.entries {
                next.install(
                    pattern,
                    EntryChange {
                        revision,
                        entry: entry.map(Arc::new),
                    },
                );
            }
            next.advance_to(grant.revision);
            self.catalogue.store(Arc::new(next));
        }
        freshness.poll_answered(grant.clock, grant.revision, self.revision());
    }
}
