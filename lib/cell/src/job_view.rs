use serde::{Deserialize, Serialize};
use tarragon_codes::Failure;
use tarragon_names::{Class, JobId, JobName, TeamName, Workload};

use crate::{JobState, TaskView};

/// Job as reported to callers.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct JobView {
    /// Identifier for later queries and cancellation.
    pub job: JobId,
    /// Name that the caller gave; not unique.
    pub name: JobName,
    /// Owner of the catalogue entry at the time of acceptance.
    pub team: TeamName,
    /// Class of the catalogue entry at the time of acceptance.
    pub class: Class,
    /// Kind of work that the caller requested.
    pub kind: Workload,
    /// State at the time of the query.
    pub state: JobState,
    /// Whether all tasks exited with status 0; `None` before the end or if the outcome is unknown.
    pub success: Option<bool>,
    /// Why the job was refused, failed, was not run or has an unknown outcome.
    pub reason: Option<Failure>,
    /// Tasks by index; empty in a list of jobs.
    pub tasks: Vec<TaskView>,
}
