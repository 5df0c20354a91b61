use serde::{Deserialize, Serialize};
use tarragon_names::HostName;

/// Identifies a claim attempt, so that a proposal sent twice is one claim.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct ClaimId {
    /// Host that claims.
    pub host: HostName,
    /// Start of the host's process, drawn at random.
    pub boot: u64,
    /// Number of the request within that process.
    pub request: u64,
}
