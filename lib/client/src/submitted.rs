use serde::{Deserialize, Serialize};
use tarragon_cell::JobState;
use tarragon_names::JobId;

/// Answer to the submission of a job.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Submitted {
    /// Identifier of the accepted job.
    pub job: JobId,
    /// State of the job when it was accepted.
    pub state: JobState,
}
