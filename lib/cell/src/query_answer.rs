use serde::{Deserialize, Serialize};
use tarragon_catalogue::{CatalogueEntry, Pattern};
use tarragon_codes::Failure;
use tarragon_names::Revision;

use crate::{JobView, Quota};

/// Answer to a query.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum QueryAnswer {
    /// One job.
    Job(Box<JobView>),
    /// Jobs.
    Jobs(Vec<JobView>),
    /// Entries with the revision of their last change, and the revision of the whole catalogue.
    Entries {
        /// Changed entries; `None` for a deleted one.
        entries: Vec<(Pattern, Revision, Option<CatalogueEntry>)>,
        /// Revision of the catalogue.
        revision: Revision,
    },
    /// Quota of a team with its revision.
    Quota(Quota, Revision),
    /// Nothing found, for this reason.
    Failed(Failure),
}
