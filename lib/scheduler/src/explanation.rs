use serde::{Deserialize, Serialize};
use tarragon_names::JobId;

/// Why a job is in its state.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Explanation {
    /// The job.
    pub job: JobId,
    /// One line for each reason, the most important first.
    pub reasons: Vec<String>,
    /// Position in the queue, from 1, if it waits.
    pub position: Option<u32>,
}
