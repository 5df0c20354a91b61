use serde::{Deserialize, Serialize};
use tarragon_catalogue::Pattern;
use tarragon_names::{IdempotencyKey, JobId, Revision, TeamName};

use crate::JobState;

/// A read of the replicated state.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Query {
    /// One job.
    Job(JobId),
    /// The job accepted under an idempotency key.
    JobByKey(IdempotencyKey),
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
