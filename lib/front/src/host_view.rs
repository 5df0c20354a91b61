use serde::{Deserialize, Serialize};
use tarragon_names::{DomainName, HostName, LogIndex, MemberId, Revision, Term};

/// An entry host as it is shown to operators.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HostView {
    /// The host.
    pub name: HostName,
    /// Its failure domain.
    pub domain: DomainName,
    /// `leader`, `voter`, `learner` or `entry`.
    pub role: String,
    /// Member id, if it is a replica.
    pub member: Option<MemberId>,
    /// Term that it knows.
    pub term: Term,
    /// Last index that it holds durably, if the leader knows it.
    pub synced: Option<LogIndex>,
    /// Revision of the catalogue that it decides by.
    pub revision: Revision,
    /// Whether the asked host hears from it.
    pub reachable: bool,
}
