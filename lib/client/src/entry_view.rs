use serde::{Deserialize, Serialize};
use tarragon_catalogue::{CatalogueEntry, Pattern};
use tarragon_names::Revision;

/// A catalogue entry with the revision of its last change.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EntryView {
    /// Pattern of the names that the entry covers.
    pub pattern: Pattern,
    /// Catalogue revision of the last change of the entry.
    pub revision: Revision,
    /// The entry; `None` if it was deleted.
    pub entry: Option<CatalogueEntry>,
}
