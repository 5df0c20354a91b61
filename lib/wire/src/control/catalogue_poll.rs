use serde::{Deserialize, Serialize};
use tarragon_names::{HostName, Millis, Revision};

/// Poll of a host for catalogue changes and a freshness grant.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct CataloguePoll {
    /// The host that polls.
    pub host: HostName,
    /// Revision that it decides by.
    pub revision: Revision,
    /// Its own clock reading, echoed by the grant.
    pub host_clock: Millis,
}
