use std::{net::SocketAddr, path::PathBuf};

/// An entry host of the trial.
#[derive(Clone, Debug)]
pub struct TrialHost {
    /// Its name.
    pub name: String,
    /// Its address for callers.
    pub http: SocketAddr,
    /// Its settings file.
    pub settings: PathBuf,
    /// Whether it belongs to the first group of replicas.
    pub votes: bool,
}
