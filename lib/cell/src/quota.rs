use serde::{Deserialize, Serialize};
use tarragon_names::Resources;

/// Limits of a team's use of the cell.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Quota {
    /// Resources that the team may use before it borrows from others; zero amounts mean no limit.
    pub resources: Resources,
    /// Most jobs of the team that may wait or run at once; 0 means no limit.
    #[serde(default)]
    pub max_jobs: u32,
}
