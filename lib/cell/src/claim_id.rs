use serde::{Deserialize, Serialize};
use tarragon_names::HostName;

/// Identifies one claim of a key, so that a claim that is committed twice counts as one.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct ClaimId {
    /// Host whose proxy claims the key.
    pub host: HostName,
    /// Random number drawn at each start of the host's process.
    pub boot: u64,
    /// Number of the request within the host's process.
    pub request: u64,
}
