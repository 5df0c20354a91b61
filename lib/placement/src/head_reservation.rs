use std::collections::BTreeMap;

use tarragon_names::{JobId, Millis, WorkerName};

/// Workers that a job at the head of the queue gets at a later time.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct HeadReservation {
    /// Job that the reservation is for.
    pub job: JobId,
    /// Time at which the last of the workers has room.
    pub at: Millis,
    /// Number of tasks of the job that each worker takes.
    pub workers: BTreeMap<WorkerName, u32>,
}

impl HeadReservation {
    /// Tells whether work that ends at `ends` would delay the job if it ran on `worker`.
    ///
    /// Work without a known end is assumed to outlast the reservation.
    pub fn blocks(&self, worker: &WorkerName, ends: Option<Millis>) -> bool {
        ends.is_none_or(|ends| ends > self.at) && self.workers.contains_key(worker)
    }
}
