use tarragon_cell::Command;
use tarragon_leases::WorkerOrder;
use tarragon_names::WorkerName;

use crate::SchedLog;

/// Output of the scheduler.
#[derive(Clone, Debug, PartialEq)]
pub enum SchedAction {
    /// Propose these commands to the log, in order; each comes back as `SchedEvent::Committed`, or
    /// all as `SchedEvent::NotProposed`.
    Propose(Vec<Command>),
    /// Send an order to a worker; it may be lost.
    Order {
        /// The worker.
        worker: WorkerName,
        /// The order.
        order: WorkerOrder,
    },
    /// Record an event for the time line.
    Log(SchedLog),
}
