use tarragon_cell::Command;
use tarragon_leases::WorkerOrder;
use tarragon_names::WorkerName;

use crate::SchedLog;

/// What the host has to do after a step of the scheduler.
#[derive(Clone, Debug, PartialEq)]
pub enum SchedAction {
    /// Propose these commands to the log, in this order.
    ///
    /// The host answers each with `SchedEvent::Committed` or returns it in a
    /// `SchedEvent::NotProposed`.
    Propose(Vec<Command>),
    /// Send an order to a worker. The scheduler tolerates its loss.
    Order {
        /// Worker that receives the order.
        worker: WorkerName,
        /// Order to send; orders about tasks carry a fencing token.
        order: WorkerOrder,
    },
    /// Record an event in the log and the metrics.
    Log(SchedLog),
}
