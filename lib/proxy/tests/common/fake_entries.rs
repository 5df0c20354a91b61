use std::sync::Arc;

use parking_lot::Mutex;
use tarragon_catalogue::{CatalogueEntry, Limits};
use tarragon_codes::{Failure, Outcome};
use tarragon_names::{Class, JobName, Workload};
use tarragon_proxy::CatalogueLookup;

use super::POOL;

/// A catalogue with one entry that matches all names.
#[derive(Debug)]
pub struct FakeEntries {
    pub entry: Mutex<CatalogueEntry>,
    /// Failure of every lookup.
    pub failure: Mutex<Option<Failure>>,
}

impl Default for FakeEntries {
    fn default() -> Self {
        Self {
            entry: Mutex::new(CatalogueEntry {
                pattern: "*".to_owned().into(),
                owner: "reels".into(),
                class: Class::Standard,
                workloads: vec![Workload::Request],
                pool: Some(POOL.into()),
                repeatable: false,
                limits: Limits {
                    request_timeout_ms: 10_000,
                    ..Limits::default()
                },
            }),
            failure: Mutex::default(),
        }
    }
}

impl CatalogueLookup for FakeEntries {
    fn resolve(&self, _: &JobName) -> Outcome<Arc<CatalogueEntry>> {
        match self.failure.lock().clone() {
            Some(failure) => Err(failure),
            None => Ok(Arc::new(self.entry.lock().clone())),
        }
    }
}
