use serde::{Deserialize, Serialize};
use tarragon_names::Millis;

/// What a queue's advice costs and how long it holds.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AdviceTerms {
    /// Time of one call in microseconds, before the workers named.
    pub decide_us: u64,
    /// Additional time for each worker named, in microseconds.
    pub per_worker_us: u64,
    /// Time for which a ticket is valid.
    pub valid: Millis,
}
