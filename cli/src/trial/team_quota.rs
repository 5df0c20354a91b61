use serde::Deserialize;
use tarragon_cell::Quota;
use tarragon_names::TeamName;

/// Quota of a team.
#[derive(Clone, Debug, Deserialize)]
pub(super) struct TeamQuota {
    pub(super) team: TeamName,
    #[serde(flatten)]
    pub(super) quota: Quota,
}
