use serde::{Deserialize, Serialize};
use tarragon_names::{Millis, Name, PoolName};

use crate::AdviceTerms;

/// Size of a queue in the state apart from its strings, in bytes.
const QUEUE_BYTES: usize = 128;

/// A queue of jobs, with the route that leads to it and its scheduling policy.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Queue {
    /// Identifier made of HTTP host and path prefix, so that a renamed route keeps its queue.
    pub name: Name,
    /// HTTP host name of the requests for this queue.
    pub host: Name,
    /// Path prefix of the requests for this queue.
    pub prefix: Name,
    /// Pool of workers that run the tasks.
    pub pool: PoolName,
    /// Scheduling priority; 0 is the highest.
    pub priority: u32,
    /// Number of failed runs of a task or gang after which its job fails.
    pub max_attempts: u32,
    /// Part of the latency objective of a job that is proportional to its estimated work, in
    /// thousandths of that work.
    pub stretch_permille: u64,
    /// Fixed part of the latency objective, added to the proportional part.
    pub target_latency: Millis,
    /// Present if an advice service decides which workers may run a step.
    pub advice: Option<AdviceTerms>,
}

impl Queue {
    /// Size of the queue in the state, in bytes; the same on every replica.
    pub(crate) fn state_bytes(&self) -> usize {
        // The name is also the key in the state, and the same string.
        let strings = [self.name.len(), self.host.len(), self.prefix.len()];
        QUEUE_BYTES + strings.iter().sum::<usize>() + self.pool.len()
    }
}
