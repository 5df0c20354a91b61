use serde::{Deserialize, Serialize};
use tarragon_catalogue::{CatalogueEntry, Pattern};
use tarragon_names::{Millis, Revision, Term};

/// Answer of the leader to a `CataloguePoll`; grants the host a freshness lease.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct CatalogueGrant {
    /// Clock reading of the host from the poll. The freshness lease starts at this time.
    pub echoed_clock: Millis,
    /// Term of the leader.
    pub term: Term,
    /// Revision of the catalogue on the host after it has installed `entries`.
    pub revision: Revision,
    /// Entries changed since the revision of the poll, each with the revision of its change; `None`
    /// for a deleted entry.
    pub entries: Vec<(Pattern, Revision, Option<CatalogueEntry>)>,
}
