use std::collections::BTreeMap;

use tarragon_names::{JobId, Millis, WorkerName};

/// Reservation of workers at a later time for the job at the head of the queue.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct HeadReservation {
    /// Job that is at the head of the queue.
    pub job: JobId,
    /// Time at which all tasks of the job are expected to fit.
    pub at: Millis,
    /// Number of tasks of the job to place on each worker.
    pub workers: BTreeMap<WorkerName, u32>,
}

impl HeadReservation {
    /// Whether a task that ends at `ends` would delay the job if the task ran on `worker`.
    ///
    /// A task without a known end is assumed to run past the start of the reservation.
    pub fn blocks(&self, worker: &WorkerName, ends: Option<Millis>) -> bool {
        ends.is_none_or(|ends| ends > self.at) && self.workers.contains_key(worker)
    }
}
