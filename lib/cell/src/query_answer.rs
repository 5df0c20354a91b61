use serde::{Deserialize, Serialize};
use tarragon_catalogue::{CatalogueEntry, Pattern};
use tarragon_codes::Failure;
use tarragon_names::Revision;

use crate::{JobView, Quota};

/// Answer to a query.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum QueryAnswer {
    /// Job that was queried, with its tasks.
    Job(Box<JobView>),
    /// Jobs without their tasks, newest first.
    Jobs(Vec<JobView>),
    /// Catalogue entries, each with the revision of its change.
    Entries {
        /// Pattern, revision and content of each entry; the content is `None` after a deletion.
        entries: Vec<(Pattern, Revision, Option<CatalogueEntry>)>,
        /// Revision of the whole catalogue.
        revision: Revision,
    },
    /// Quota of a team with its revision, which is 0 if none is set.
    Quota(Quota, Revision),
    /// The query found nothing, for this reason.
    Failed(Failure),
}
