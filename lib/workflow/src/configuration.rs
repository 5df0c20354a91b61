use serde::{Deserialize, Serialize};
use tarragon_names::Name;

use crate::{Queue, WorkerPool};

/// The operator's whole configuration in one version.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Configuration {
    /// The highest version takes effect.
    pub version: u64,
    /// The document as it was sent, to be read back unchanged.
    pub text: Name,
    /// All queues.
    pub queues: Vec<Queue>,
    /// All pools.
    pub pools: Vec<WorkerPool>,
    /// Largest body of a request in bytes.
    pub max_body_bytes: u64,
}

impl Configuration {
    /// The queue that a request belongs to, and the rest of its path.
    pub fn resolve<'a>(&self, host: &str, path: &'a str) -> Option<(&Queue, &'a str)> {
        let matching = self
            .queues
            .iter()
            .filter(|queue| queue.host.as_str() == host && path.starts_with(queue.prefix.as_str()));
        let queue = matching.max_by_key(|queue| queue.prefix.len())?;
        Some((queue, &path[queue.prefix.len()..]))
    }
}
