use serde::{Deserialize, Serialize};
use tarragon_names::HostName;

use crate::Role;

/// One member of the replica group.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct Member {
    /// Host on which the member runs.
    pub host: HostName,
    /// Whether the member votes.
    pub role: Role,
}
