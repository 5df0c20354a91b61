use std::sync::Arc;

use derive_more::Debug;
use serde::{Deserialize, Serialize};
use tarragon_names::Name;

use crate::{Queue, RouteIndex, TeamTable, WorkerPool};

/// One version of the operator's whole configuration.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Configuration {
    /// Version chosen by the operator; only a higher one replaces the configuration in force.
    pub version: u64,
    /// Text as the operator sent it, returned unchanged when the configuration is read. It may contain
    /// keys of teams, so it must not get into logs and errors.
    #[debug("{} bytes", text.len())]
    pub text: Name,
    /// Queues of jobs, one for each route.
    pub queues: Vec<Queue>,
    /// Pools of workers that the queues refer to.
    pub pools: Vec<WorkerPool>,
    /// Maximum size of a request body in bytes.
    pub max_body_bytes: u64,
    /// Teams of callers. They are sent and stored beside the configuration, so that a configuration
    /// without teams has the form that earlier releases read.
    #[serde(skip)]
    pub teams: Arc<TeamTable>,
    /// Index of the queues by route.
    #[debug(skip)]
    #[serde(skip)]
    pub route_index: RouteIndex,
}

impl Configuration {
    /// Returns the queue for a request and the remaining path after the prefix of that queue.
    ///
    /// If several prefixes match, the longest one wins.
    pub fn resolve<'a>(&self, host: &str, path: &'a str) -> Option<(&Queue, &'a str)> {
        let position = self.route_index.position(&self.queues, host, path)?;
        let queue = self.queues.get(position)?;
        let rest = path.get(queue.prefix.len()..)?;
        Some((queue, rest))
    }
}
