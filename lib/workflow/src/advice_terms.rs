use serde::{Deserialize, Serialize};
use tarragon_names::Millis;

/// Expected duration of a call to the advice service of a queue, and validity of its answer.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AdviceTerms {
    /// Fixed duration of a call, in microseconds.
    pub decide_us: u64,
    /// Additional duration for each worker named in the call, in microseconds.
    pub per_worker_us: u64,
    /// Validity of a ticket, which approves one worker for a step.
    pub valid: Millis,
}
