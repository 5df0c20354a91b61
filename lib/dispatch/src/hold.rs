use serde::{Deserialize, Serialize};
use tarragon_names::{Millis, Name};
use tarragon_workflow::{RunEnd, TaskKey, WorkerIncarnation};

/// A look at a worker that renews its lease.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HoldCall {
    /// The worker.
    pub life: WorkerIncarnation,
    /// Where it takes calls.
    pub address: Name,
    /// End of its lease on its own clock in milliseconds; absent to look only.
    pub lease_until_ms: Option<u64>,
    /// Term of the leader.
    pub fence: u64,
    /// Ends up to this number are committed.
    pub acknowledged: u64,
    /// Time that it may wait for an end.
    pub wait: Millis,
}

/// A run on a worker.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RunningRow {
    /// The task.
    pub task: TaskKey,
    /// Number of the run.
    pub run: u32,
    /// Its last checkpoint.
    pub saved: Option<Name>,
    /// Share of its work that is done, in percent; for a task that serves users, its share of full
    /// work.
    pub percent: u64,
    /// Thousandths of a core that it used in the last half second; for a task that serves users,
    /// the tail of its response times in milliseconds.
    pub figure: Option<u64>,
}

/// The end of a run that its worker lists until it is acknowledged.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct FinishedRow {
    /// Number of the end in this life of the worker.
    pub number: u64,
    /// The task.
    pub task: TaskKey,
    /// Number of the run.
    pub run: u32,
    /// How it ended.
    pub end: RunEnd,
    /// Its last checkpoint.
    pub saved: Option<Name>,
}

/// What became of a look.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum HoldOutcome {
    /// The worker answered.
    Answered(HoldAnswer),
    /// Another life answers at the address.
    OtherLife,
    /// The worker has seen a higher term.
    Fenced,
    /// No answer came.
    Unanswered,
}

/// What a worker says of itself.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HoldAnswer {
    /// Unix time of the worker's start in milliseconds, if it tells.
    pub born_ms: Option<u64>,
    /// Its clock in milliseconds.
    pub clock_ms: u64,
    /// What runs there.
    pub running: Vec<RunningRow>,
    /// Ends that are not acknowledged.
    pub finished: Vec<FinishedRow>,
    /// There may be more ends than were listed.
    pub is_cut: bool,
}
