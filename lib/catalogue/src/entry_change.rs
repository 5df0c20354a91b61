use std::sync::Arc;

use serde::{Deserialize, Serialize};
use tarragon_names::Revision;

use crate::CatalogueEntry;

/// One revision of a catalogue entry.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EntryChange {
    /// Revision of the catalogue that the change made.
    pub revision: Revision,
    /// The entry from then on; `None` if it was deleted.
    pub entry: Option<Arc<CatalogueEntry>>,
}
