use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Outcome of a run of a task.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, Hash, PartialEq, Serialize)]
#[display(rename_all = "lowercase")]
pub enum RunEnd {
    /// The task completed its work.
    Done,
    /// The run failed; the cause may be the task or the worker.
    Failed,
    /// The run was stopped by an order.
    Stopped,
    /// The worker stopped the run because its lease expired.
    Lapsed,
    /// Another member of the gang ended.
    Broken,
    /// The other members of the gang did not start in time.
    Alone,
    /// The run never started, or its worker no longer exists.
    Lost,
}
