use std::{net::SocketAddr, path::PathBuf};

/// An entry host of the trial.
#[derive(Clone, Debug)]
pub struct TrialHost {
    /// Name of the host.
    pub name: String,
    /// Address that callers connect to.
    pub http: SocketAddr,
    /// Settings file of the host.
    pub settings: PathBuf,
    /// Whether the host is an initial member of the replica group.
    pub is_initial_voter: bool,
}
