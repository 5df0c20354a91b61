use std::sync::Arc;

use serde::{Deserialize, Serialize};
use tarragon_names::Revision;

use crate::CatalogueEntry;

/// Creation, replacement or deletion of a catalogue entry.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EntryChange {
    /// Revision of the catalogue after the change.
    pub revision: Revision,
    /// New content of the entry; `None` if it was deleted.
    pub entry: Option<Arc<CatalogueEntry>>,
}
