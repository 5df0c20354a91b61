use serde::{Deserialize, Serialize};
use tarragon_names::JobId;

/// Reasons for the state of a job.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Explanation {
    /// Job that the reasons are about.
    pub job: JobId,
    /// One line for each reason; the first one is the state.
    pub reasons: Vec<String>,
    /// Position in the queue, from 1; `None` if the job is not queued on this host.
    pub position: Option<u32>,
}
