use serde::{Deserialize, Serialize};
use tarragon_names::{Millis, Name};
use tarragon_workflow::{RunEnd, TaskKey, WorkerIncarnation};

use crate::FencingToken;

/// Poll of a worker, which renews its lease.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PollCall {
    /// Incarnation that may answer.
    pub incarnation: WorkerIncarnation,
    /// Network address of the worker.
    pub address: Name,
    /// End of the lease on the worker's clock, in milliseconds; `None` to poll without a lease.
    pub lease_until_ms: Option<u64>,
    /// The worker refuses the poll if it has seen a higher token.
    pub fence: FencingToken,
    /// Ends of runs up to this number are committed, so the worker may forget them.
    pub acknowledged: u64,
    /// Time for which the worker may delay its answer while no run ends.
    pub wait: Millis,
}

/// State of a run, as its worker reports it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RunStatus {
    /// Task that runs.
    pub task: TaskKey,
    /// Number of the run, counted per task.
    pub run: u32,
    /// Last checkpoint of the run, if there is one.
    pub checkpoint: Option<Name>,
    /// Progress of the run in percent; for a latency-sensitive task, its share of full work.
    pub percent: u64,
    /// CPU used in the last half second, in thousandths of a core; for a latency-sensitive task,
    /// its tail latency in milliseconds.
    pub usage_or_tail_ms: Option<u64>,
}

/// End of a run, which the worker lists until it is acknowledged.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct FinishedRun {
    /// Number of the end, counted per incarnation of the worker.
    pub number: u64,
    /// Task that ended.
    pub task: TaskKey,
    /// Number of the run, counted per task.
    pub run: u32,
    /// How the run ended.
    pub end: RunEnd,
    /// Last checkpoint of the run, if there is one.
    pub checkpoint: Option<Name>,
}

/// Result of a poll.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum PollOutcome {
    /// The worker answered.
    Answered(PollAnswer),
    /// Another incarnation answers at the address.
    OtherIncarnation,
    /// The worker has seen a higher fencing token.
    Fenced,
    /// No answer came.
    Unanswered,
    /// The poll did not leave the host that was to send it, or that host did not report the answer.
    /// This says nothing about the worker.
    NotSent,
}

/// State of a worker, as the worker reports it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PollAnswer {
    /// Unix time in milliseconds at which the worker started; `None` if the answer does not say.
    pub started_ms: Option<u64>,
    /// Reading of the worker's clock in milliseconds.
    pub clock_ms: u64,
    /// Runs that have not ended.
    pub running: Vec<RunStatus>,
    /// Ends that are not acknowledged yet.
    pub finished: Vec<FinishedRun>,
    /// Whether the list of ends is cut off, so that more ends may exist.
    pub is_truncated: bool,
}
