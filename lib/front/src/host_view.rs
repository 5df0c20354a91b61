use serde::{Deserialize, Serialize};
use tarragon_names::{DomainName, HostName, LogIndex, MemberId, Revision, Term};

/// State of an entry host, as shown to operators.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HostView {
    /// Name of the host in its settings.
    pub name: HostName,
    /// Failure domain of the host.
    pub domain: DomainName,
    /// `leader`, `voter`, `learner` or `entry`.
    pub role: String,
    /// Member id; `None` if the host is not a replica.
    pub member: Option<MemberId>,
    /// Latest term known to the host.
    pub term: Term,
    /// Last log index that the host has synced to disk; `None` if the leader does not know it.
    pub synced: Option<LogIndex>,
    /// Revision of the catalogue that the host decides by.
    pub revision: Revision,
    /// Whether the host that answered the call has contact with this host.
    pub reachable: bool,
}
