use serde::{Deserialize, Serialize};
use tarragon_catalogue::Pattern;
use tarragon_names::{IdempotencyKey, JobId, Revision, TeamName};

use crate::JobState;

/// Query on the replicated state.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Query {
    /// One job with its tasks.
    Job(JobId),
    /// Job that was accepted under an idempotency key.
    JobByKey(IdempotencyKey),
    /// Jobs without their tasks, newest first.
    Jobs {
        /// Owner of the jobs; `None` for jobs of all teams.
        team: Option<TeamName>,
        /// State of the jobs; `None` for jobs in any state.
        state: Option<JobState>,
        /// Most jobs in the answer, capped at [`MAX_JOBS_PER_QUERY`](crate::MAX_JOBS_PER_QUERY).
        limit: u32,
    },
    /// Catalogue entry written for exactly this pattern.
    Entry(Pattern),
    /// Catalogue entries that were changed or deleted after a revision.
    EntriesSince(Revision),
    /// Kept revisions of one catalogue entry, oldest first.
    History(Pattern),
    /// Quota of a team; without limits if none is set.
    Quota(TeamName),
}
