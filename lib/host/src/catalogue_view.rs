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
    /// Creates an empty copy that is not fresh.
    pub fn new(host: HostName) -> Self {
        Self {
            host,
            catalogue: ArcSwap::default(),
            freshness: Mutex::new(FreshnessLease::default()),
        }
    }

    /// Returns the copy if it is fresh, that is, if this host may decide by it.
    pub fn fresh(&self, now: Millis) -> Option<Arc<Catalogue>> {
        // The lease is checked before the copy is loaded: a change in between can only make the
        // copy newer.
        self.freshness
            .lock()
            .is_fresh(now)
            .then(|| self.catalogue.load_full())
    }

    /// Returns the revision of the copy.
    pub fn revision(&self) -> Revision {
        self.catalogue.load().revision()
    }

    /// Returns a poll to send to the leader, and records that it was sent at `now`.
    pub fn start_poll(&self, now: Millis) -> CataloguePoll {
        self.freshness.lock().poll_sent(now);
        CataloguePoll {
            host: self.host.clone(),
            revision: self.revision(),
            host_clock: now,
        }
    }

    /// Installs the changes of a grant and renews the freshness lease.
    pub fn apply_grant(&self, grant: CatalogueGrant) {
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
        freshness.poll_answered(grant.echoed_clock, grant.revision, self.revision());
    }
}
