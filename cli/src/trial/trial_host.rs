use std::{net::SocketAddr, path::PathBuf};

/// An entry host of the trial.
#[derive(Clone, Debug)]
pub(super) struct TrialHost {
    pub(super) name: String,
    pub(super) http: SocketAddr,
    pub(super) settings: PathBuf,
    /// Whether it belongs to the first group of replicas.
    pub(super) votes: bool,
}
