use serde::{Deserialize, Serialize};
use tarragon_names::{Millis, Name, PoolName};

use crate::AdviceTerms;

/// A queue of jobs: the route that leads to it and the policy for its work.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Queue {
    /// Name of the route.
    pub name: Name,
    /// Host name in the requests of the queue.
    pub host: Name,
    /// Prefix of the paths of the queue.
    pub prefix: Name,
    /// Workers that run its tasks.
    pub pool: PoolName,
    /// 0 comes first.
    pub priority: u32,
    /// Failed runs of a task after which its job has failed.
    pub max_attempts: u32,
    /// Allowed time as a multiple of the work, in thousandths.
    pub stretch_permille: u64,
    /// Time allowed in addition.
    pub target_latency: Millis,
    /// Present if only some workers may run a step.
    pub advice: Option<AdviceTerms>,
}
