use std::sync::Arc;

use tarragon_names::{Class, Millis};

use crate::QueuedJob;

/// A waiting job with its state in the queue.
#[derive(Debug)]
pub(crate) struct WaitingJob {
    pub(crate) job: Arc<QueuedJob>,
    /// Class after ageing.
    pub(crate) class: Class,
    /// Time of the next promotion; `None` in the urgent class.
    pub(crate) promotes_at: Option<Millis>,
}
