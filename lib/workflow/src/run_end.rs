use derive_more::Display;
use serde::{Deserialize, Serialize};

/// How a run of a task ended.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, Hash, PartialEq, Serialize)]
#[display(rename_all = "lowercase")]
pub enum RunEnd {
    /// Its work is done.
    Done,
    /// It failed, through its own fault or the worker's.
    Failed,
    /// An order stopped it.
    Stopped,
    /// The lease of its worker ended.
    Lapsed,
    /// Another member of its gang ended.
    Broken,
    /// It waited in vain for the rest of its gang.
    Alone,
    /// It never started, or its worker is gone.
    Lost,
}
