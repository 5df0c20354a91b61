use serde::Deserialize;
use tarragon_cell::Quota;
use tarragon_names::TeamName;

/// Quota of a team.
#[derive(Clone, Debug, Deserialize)]
pub struct TeamQuota {
    pub team: TeamName,
    #[serde(flatten)]
    pub quota: Quota,
}
