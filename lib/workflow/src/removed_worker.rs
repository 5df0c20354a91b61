use serde::{Deserialize, Serialize};

use crate::WorkerIncarnation;

/// What is kept of a removed record of a worker. Announcements of the incarnation may still arrive,
/// and a worker that was only cut off announces itself again.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RemovedWorker {
    /// Incarnation whose record was removed.
    pub incarnation: WorkerIncarnation,
    /// Whether the incarnation had announced that it leaves.
    pub is_draining: bool,
    /// Highest number of an end that this incarnation reported and that was recorded.
    pub acknowledged: u64,
    /// Unix time of the removal, in milliseconds.
    pub removed_ms: u64,
}
