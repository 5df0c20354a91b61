use serde::{Deserialize, Serialize};
use tarragon_names::{HostName, Millis, Name, WorkerName};
use tarragon_workflow::{Command, TaskKey, WorkerIncarnation};

use crate::{HoldOutcome, OrderOutcome};

/// Workers that may run a step, as the advice service told.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AdviceAnswer {
    /// Worker and ticket.
    pub approved: Vec<(WorkerName, Name)>,
    /// Time for which the tickets are valid, if the answer tells.
    pub valid: Option<Millis>,
}

/// What the dispatcher is told.
#[derive(Clone, Debug)]
pub enum Input {
    /// This host leads from now on.
    BecameLeader {
        /// Its term.
        term: u64,
    },
    /// This host no longer leads.
    LostLeadership,
    /// A command was committed and applied.
    Applied(Command),
    /// Commands of the dispatcher were refused and have no effect.
    NotProposed(Vec<Command>),
    /// A worker sent a heartbeat.
    Heard {
        /// The worker.
        life: WorkerIncarnation,
        /// Least time until it leaves, if it is leaving.
        leaves_in: Option<Millis>,
    },
    /// A host can ask for advice.
    HostSeen {
        /// The host.
        host: HostName,
        /// Whether it is one of the larger hosts, which hold a replica.
        is_large: bool,
    },
    /// A host stops.
    HostStops(HostName),
    /// A look at a worker ended.
    Held {
        /// Term in which it was sent.
        fence: u64,
        /// The worker.
        life: WorkerIncarnation,
        /// What became of the look.
        outcome: HoldOutcome,
    },
    /// The order to start a run was answered, or was not.
    StartEnded {
        /// Term in which it was sent.
        fence: u64,
        /// The worker.
        life: WorkerIncarnation,
        /// The task.
        task: TaskKey,
        /// Number of the run.
        run: u32,
        /// What became of the order.
        outcome: OrderOutcome,
    },
    /// The order to stop a run was answered, or was not.
    StopEnded {
        /// Term in which it was sent.
        fence: u64,
        /// The worker.
        life: WorkerIncarnation,
        /// The task.
        task: TaskKey,
        /// Number of the run.
        run: u32,
        /// What became of the order.
        outcome: OrderOutcome,
    },
    /// The order to change the pace of a run was answered, or was not.
    PaceEnded {
        /// Term in which it was sent.
        fence: u64,
        /// The worker.
        life: WorkerIncarnation,
        /// The task.
        task: TaskKey,
        /// Number of the run.
        run: u32,
        /// What became of the order.
        outcome: OrderOutcome,
    },
    /// A call for advice ended.
    Advised {
        /// Number of the call.
        ask: u64,
        /// The answer; absent if none came.
        answer: Option<AdviceAnswer>,
    },
    /// A worker goes down soon; nothing more is to be placed there for a while.
    Spare(WorkerName),
    /// Time has passed.
    Tick,
}
