use tarragon_cell::{Answer, Command};
use tarragon_leases::WorkerReport;
use tarragon_names::{Millis, Term, WorkerName};

/// Input of the scheduler.
#[derive(Clone, Debug, PartialEq)]
pub enum SchedEvent {
    /// This host leads; all entries of earlier terms are applied to the cell.
    BecameLeader {
        /// Term of the leadership.
        term: Term,
        /// Time that this host would write with a command now.
        at_ms: u64,
    },
    /// This host no longer leads.
    LostLeadership,
    /// A command was committed and applied to the cell, in the order of the log.
    Committed {
        /// The command.
        command: Command,
        /// Its result.
        answer: Answer,
    },
    /// Commands that the scheduler proposed were refused and will not be committed.
    NotProposed(Vec<Command>),
    /// A worker reported something.
    Report {
        /// The worker.
        worker: WorkerName,
        /// The report.
        report: WorkerReport,
    },
    /// Time has passed; sent about every 50 ms.
    Tick {
        /// Time up to which no other host can have been elected, by the acknowledged heartbeats.
        ///
        /// Worker leases are granted only before it. Otherwise a leader that was deposed without
        /// noticing could renew a lease that its successor counts as ended.
        leader_until: Millis,
    },
}
