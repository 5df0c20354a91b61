use tarragon_cell::{Answer, Command};
use tarragon_leases::WorkerReport;
use tarragon_names::{Millis, Term, WorkerName};

/// Event that the host passes to the scheduler.
#[derive(Clone, Debug, PartialEq)]
pub enum SchedEvent {
    /// This host was elected; all log entries of earlier terms are applied to the cell.
    BecameLeader {
        /// Term that this host leads.
        term: Term,
        /// Current time on the clock that stamps log entries, in milliseconds.
        at_ms: u64,
    },
    /// This host no longer leads.
    LostLeadership,
    /// A command was committed and applied to the cell. These events follow the order of the log.
    Committed {
        /// Command that was committed, whether this scheduler proposed it or not.
        command: Command,
        /// Result of applying the command to the cell.
        answer: Answer,
    },
    /// The replica refused to propose these commands; the scheduler treats them as not committed.
    NotProposed(Vec<Command>),
    /// A message from a worker arrived.
    Report {
        /// Worker that sent the report.
        worker: WorkerName,
        /// Registration, heartbeat, end of a task or announcement that the worker leaves.
        report: WorkerReport,
    },
    /// Periodic event, sent about every 50 ms.
    Tick {
        /// Time up to which no other host can have been elected, according to the acknowledged
        /// heartbeats.
        ///
        /// Worker leases are granted only before this time. Otherwise a leader that was deposed
        /// without noticing could renew a lease that its successor counts as ended.
        leader_until: Millis,
    },
}
