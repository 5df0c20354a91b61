use serde::{Deserialize, Serialize};
use tarragon_cell::Quota;
use tarragon_names::{Revision, TeamName};

/// Quota of a team with the revision of its last change.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct QuotaView {
    /// Team that owns the quota.
    pub team: TeamName,
    /// Revision of the last change; 0 if the team has no quota.
    pub revision: Revision,
    /// Quota in effect at that revision.
    pub quota: Quota,
}
