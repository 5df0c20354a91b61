use serde::{Deserialize, Serialize};
use tarragon_names::{HostName, Millis, Revision};

/// Request of a host for catalogue changes and a freshness lease.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct CataloguePoll {
    /// Host that sends the poll.
    pub host: HostName,
    /// Revision of the host's copy of the catalogue, by which it decides.
    pub revision: Revision,
    /// Clock reading of the host, which the grant echoes.
    pub host_clock: Millis,
}
