use serde::{Deserialize, Serialize};
use tarragon_catalogue::{CatalogueEntry, Pattern};
use tarragon_codes::Failure;
use tarragon_names::{JobId, KeyName, Revision, TeamName};

use crate::{JobState, JobView, Quota};

/// A read of the replicated state.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Query {
    /// One job.
    Job(JobId),
    /// The job accepted under an idempotency key.
    JobByKey(KeyName),
    /// Jobs, newest first.
    Jobs {
        /// Only of this team.
        team: Option<TeamName>,
        /// Only in this state.
        state: Option<JobState>,
        /// At most this many.
        limit: u32,
    },
    /// One catalogue entry.
    Entry(Pattern),
    /// Catalogue entries changed after a revision; deleted ones have no value.
    EntriesSince(Revision),
    /// Revisions of one entry, oldest first.
    History(Pattern),
    /// Quota of a team.
    Quota(TeamName),
}

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
