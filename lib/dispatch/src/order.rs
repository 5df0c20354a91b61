use serde::{Deserialize, Serialize};
use tarragon_names::{Millis, Name};
use tarragon_workflow::{TaskKey, WorkerIncarnation};

use crate::FencingToken;

/// Order to start a run.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StartOrder {
    /// Incarnation that may carry out the order.
    pub incarnation: WorkerIncarnation,
    /// Network address of the worker.
    pub address: Name,
    /// Task to run.
    pub task: TaskKey,
    /// Number of the run, counted per task.
    pub run: u32,
    /// Input of the task, from the description of the job.
    pub payload: Name,
    /// End of the worker's lease on the worker's clock, in milliseconds.
    pub lease_until_ms: u64,
    /// The worker refuses the order if it has seen a higher token.
    pub fence: FencingToken,
    /// Checkpoint to resume from; `None` to start from the beginning.
    pub checkpoint: Option<Name>,
    /// Proof that the worker may run the step; `None` for a queue without advice.
    pub ticket: Option<Name>,
    /// Time after which the order counts as unanswered.
    pub timeout: Millis,
    /// Whether an earlier order for the run got no answer.
    pub is_repeated: bool,
}

/// Order to stop a run, or to refuse it if its start order arrives later.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StopOrder {
    /// Incarnation that may carry out the order.
    pub incarnation: WorkerIncarnation,
    /// Network address of the worker.
    pub address: Name,
    /// Task to stop.
    pub task: TaskKey,
    /// Number of the run, counted per task.
    pub run: u32,
    /// The worker refuses the order if it has seen a higher token.
    pub fence: FencingToken,
    /// Time after which the order counts as unanswered.
    pub timeout: Millis,
}

/// Order to run a task at a share of its full rate.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ThrottleOrder {
    /// Incarnation that may carry out the order.
    pub incarnation: WorkerIncarnation,
    /// Network address of the worker.
    pub address: Name,
    /// Task to throttle.
    pub task: TaskKey,
    /// Number of the run, counted per task.
    pub run: u32,
    /// Rate in percent; 0 pauses the run, and 100 lifts the limit.
    pub percent: u64,
    /// The worker refuses the order if it has seen a higher token.
    pub fence: FencingToken,
    /// Time after which the order counts as unanswered.
    pub timeout: Millis,
}

/// Reason why a worker refused an order.
#[derive(Clone, Copy, Debug, Deserialize, derive_more::Display, Eq, PartialEq, Serialize)]
#[display(rename_all = "snake_case")]
pub enum Refusal {
    /// The worker has seen a higher fencing token.
    Fence,
    /// This run or a later one of the task was stopped or has ended on the worker.
    Old,
    /// The lease in the order had expired.
    Late,
    /// The worker lacks free capacity.
    #[display("room")]
    Capacity,
    /// The ticket is missing or no longer valid.
    Ticket,
    /// Another incarnation answers at the address.
    #[display("other_life")]
    OtherIncarnation,
    /// The worker is not healthy.
    Unhealthy,
    /// The worker could not parse the order.
    Malformed,
    /// No connection to the worker could be made, so the order was not sent.
    Unreachable,
}

/// Result of an order.
#[derive(Clone, Copy, Debug, Deserialize, derive_more::Display, Eq, PartialEq, Serialize)]
pub enum OrderOutcome {
    /// The order was carried out, now or earlier.
    #[display("accepted")]
    Accepted,
    /// The worker did nothing.
    #[display("refused: {_0}")]
    Refused(Refusal),
    /// No answer came; the order may still be carried out.
    #[display("unanswered")]
    Unanswered,
    /// The order did not leave the host that was to send it, so the worker did nothing. This says
    /// nothing about the worker.
    #[display("not_sent")]
    NotSent,
}

impl OrderOutcome {
    /// Returns whether the worker itself answered.
    pub fn is_answer(self) -> bool {
        match self {
            Self::Accepted => true,
            Self::Refused(refusal) => refusal != Refusal::Unreachable,
            Self::Unanswered | Self::NotSent => false,
        }
    }
}

/// Result of an order about a run, as the host that sent the order reports it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct FinishedOrder {
    /// Fencing token of the order.
    pub fence: FencingToken,
    /// Incarnation that the order was meant for.
    pub incarnation: WorkerIncarnation,
    /// Task that the order was for.
    pub task: TaskKey,
    /// Number of the run, counted per task.
    pub run: u32,
    /// What came of the order.
    pub outcome: OrderOutcome,
}
