use serde::{Deserialize, Serialize};

use crate::WorkerIncarnation;

/// Proof of the order of two incarnations of a worker: the later one has answered a call that was sent
/// after the earlier one had announced itself. Start times prove nothing, because a wall clock can go back.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Succession {
    /// Incarnation that has ended.
    pub earlier: WorkerIncarnation,
    /// Start time of the incarnation that has followed it, in Unix milliseconds.
    pub later_started_ms: u64,
}

impl Succession {
    /// Returns the incarnation that has followed the earlier one.
    pub fn later(&self) -> WorkerIncarnation {
        WorkerIncarnation {
            worker: self.earlier.worker.clone(),
            started_ms: self.later_started_ms,
        }
    }
}
