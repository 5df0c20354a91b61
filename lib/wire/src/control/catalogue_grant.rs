use serde::{Deserialize, Serialize};
use tarragon_catalogue::{CatalogueEntry, Pattern};
use tarragon_names::{Millis, Revision, Term};

/// Answer to a poll.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct CatalogueGrant {
    /// The host's own clock reading, from which its freshness lease runs.
    pub echoed_clock: Millis,
    /// Term of the leader.
    pub term: Term,
    /// Revision that the host holds once it has installed the changes.
    pub revision: Revision,
    /// Entries changed since the revision of the poll; `None` for a deleted one.
    pub entries: Vec<(Pattern, Revision, Option<CatalogueEntry>)>,
}
