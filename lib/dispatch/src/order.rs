use serde::{Deserialize, Serialize};
use tarragon_names::{Millis, Name};
use tarragon_workflow::{TaskKey, WorkerIncarnation};

/// Order to start a run.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StartOrder {
    /// The worker.
    pub life: WorkerIncarnation,
    /// Where it takes orders.
    pub address: Name,
    /// The task.
    pub task: TaskKey,
    /// Number of the run.
    pub run: u32,
    /// What the task is given.
    pub payload: Name,
    /// End of the worker's lease on its own clock, in milliseconds.
    pub lease_until_ms: u64,
    /// Term of the leader.
    pub fence: u64,
    /// Checkpoint to resume from.
    pub checkpoint: Option<Name>,
    /// Proof that the worker may run the step.
    pub ticket: Option<Name>,
    /// Time after which the order counts as unanswered.
    pub limit: Millis,
}

/// Order to stop a run, or to refuse it if it is still to come.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StopOrder {
    /// The worker.
    pub life: WorkerIncarnation,
    /// Where it takes orders.
    pub address: Name,
    /// The task.
    pub task: TaskKey,
    /// Number of the run.
    pub run: u32,
    /// Term of the leader.
    pub fence: u64,
    /// Time after which the order counts as unanswered.
    pub limit: Millis,
}

/// Order to let a run work at a share of its usual speed.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PaceOrder {
    /// The worker.
    pub life: WorkerIncarnation,
    /// Where it takes orders.
    pub address: Name,
    /// The task.
    pub task: TaskKey,
    /// Number of the run.
    pub run: u32,
    /// The share in percent.
    pub percent: u64,
    /// Term of the leader.
    pub fence: u64,
    /// Time after which the order counts as unanswered.
    pub limit: Millis,
}

/// Why a worker did nothing.
#[derive(Clone, Copy, Debug, derive_more::Display, Eq, PartialEq)]
#[display(rename_all = "snake_case")]
pub enum Refusal {
    /// It has seen a higher term.
    Fence,
    /// The run, or a later one, was stopped or has ended there.
    Old,
    /// The lease in the order had ended.
    Late,
    /// It has no room.
    Room,
    /// The ticket is missing or no longer valid.
    Ticket,
    /// Another life answers at the address.
    OtherLife,
    /// The worker is not healthy.
    Unhealthy,
    /// It cannot read the order.
    Malformed,
}

/// What became of an order as far as its answer tells.
#[derive(Clone, Copy, Debug, derive_more::Display, Eq, PartialEq)]
pub enum OrderOutcome {
    /// It was carried out, now or before.
    #[display("accepted")]
    Accepted,
    /// Nothing was done.
    #[display("refused: {_0}")]
    Refused(Refusal),
    /// No answer came; the order may still be carried out.
    #[display("unanswered")]
    Unanswered,
}
