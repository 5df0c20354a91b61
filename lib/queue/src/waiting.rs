use std::sync::Arc;

use tarragon_names::{Class, Millis};

use crate::QueuedJob;

/// A waiting job with its state in the queue.
#[derive(Debug)]
pub(crate) struct Waiting {
    pub(crate) job: Arc<QueuedJob>,
    /// Class after ageing.
    pub(crate) class: Class,
    /// Time at which the job rises by one class.
    pub(crate) rises: Option<Millis>,
}
