use serde::{Deserialize, Serialize};
use tarragon_codes::Failure;
use tarragon_names::{Class, JobId, JobName, TeamName, Workload};

use crate::{JobState, TaskView};

/// A job as it is told to callers.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct JobView {
    /// Identifier.
    pub job: JobId,
    /// Name given by the caller.
    pub name: JobName,
    /// Owner by the catalogue at the time of acceptance.
    pub team: TeamName,
    /// Class by the catalogue at the time of acceptance.
    pub class: Class,
    /// Kind of work.
    pub kind: Workload,
    /// State.
    pub state: JobState,
    /// Whether all tasks ended with exit status 0; absent before the end.
    pub success: Option<bool>,
    /// Why the job was refused or failed.
    pub reason: Option<Failure>,
    /// Tasks; empty in lists.
    pub tasks: Vec<TaskView>,
}
