use serde::{Deserialize, Serialize};
use tarragon_catalogue::{CatalogueEntry, Pattern};
use tarragon_names::Revision;

/// A catalogue entry with the revision of its last change.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EntryView {
    /// Pattern of the entry.
    pub pattern: Pattern,
    /// Revision of its last change.
    pub revision: Revision,
    /// The entry; absent if it was deleted.
    pub entry: Option<CatalogueEntry>,
}
