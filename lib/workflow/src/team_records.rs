use serde::{Deserialize, Serialize};

use crate::{JobKey, Team, TeamTable};

/// Part of a snapshot that holds the teams. Snapshots of releases without teams lack it.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct TeamRecords {
    /// Teams of the configuration in force.
    pub configured: TeamTable,
    /// All known teams, including removed ones that jobs may still belong to.
    pub teams: Vec<Team>,
    /// Jobs that belong to a team, each with the position of its team in `teams`.
    pub jobs: Vec<(JobKey, u32)>,
}
