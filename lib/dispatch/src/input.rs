use serde::{Deserialize, Serialize};
use tarragon_names::{DomainName, HostCapacity, HostName, Millis, Name, WorkerName};
use tarragon_workflow::{Answer, Command, TaskKey, WorkerIncarnation, WorkerRecord};

use crate::{FencingToken, FinishedOrder, PollOutcome};

/// Answer of the advice service: workers that may run a step.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AdviceAnswer {
    /// Approved workers, each with its ticket.
    pub approved: Vec<(WorkerName, Name)>,
    /// Time for which the tickets are valid; `None` if the answer does not say.
    pub valid: Option<Millis>,
}

/// Events that the dispatcher reacts to.
#[derive(Clone, Debug)]
pub enum Input {
    /// This host became the leader.
    BecameLeader {
        /// Term in which this host leads.
        term: u64,
    },
    /// This host no longer leads.
    LostLeadership,
    /// A command was committed and applied with this answer.
    Applied(Command, Answer),
    /// Another leader placed these runs, each a task and a number, as this host has just applied.
    RunsPlaced(Vec<(TaskKey, u32)>),
    /// Commands of the dispatcher were refused by the log and have no effect.
    NotProposed(Vec<Command>),
    /// A worker sent a heartbeat.
    HeartbeatReceived {
        /// Incarnation of the worker that sent the heartbeat.
        incarnation: WorkerIncarnation,
        /// Shortest time until the worker leaves; `None` if it is not leaving.
        leaves_in: Option<Millis>,
    },
    /// A worker announced itself at the address at which another one is recorded.
    AddressClaimed {
        /// Incarnation that is recorded at the address.
        holder: WorkerIncarnation,
        /// Announcement of the other worker.
        claim: WorkerRecord,
    },
    /// A host announced that it can relay requests for advice and deliver orders.
    HostSeen {
        /// Host that may relay requests.
        host: HostName,
        /// Failure domain of the host.
        domain: DomainName,
        /// Whether it is one of the larger hosts, which hold a replica.
        is_large: bool,
        /// What the host may use of its machine.
        capacity: HostCapacity,
    },
    /// A host is stopping and relays no more requests.
    HostStops(HostName),
    /// A poll of a worker was answered or timed out.
    PollFinished {
        /// Fencing token of the poll.
        fence: FencingToken,
        /// Incarnation that was polled.
        incarnation: WorkerIncarnation,
        /// Answer of the worker, or the reason why there is none.
        outcome: PollOutcome,
    },
    /// An order to start a run was answered or timed out.
    StartOrderFinished(FinishedOrder),
    /// A worker answered an order to start a run after the order had counted as unanswered, or the order
    /// certainly did not leave its host.
    StartOrderSettled(FinishedOrder),
    /// An order to stop a run was answered or timed out.
    StopOrderFinished(FinishedOrder),
    /// An order to change the rate of a run was answered or timed out.
    ThrottleOrderFinished(FinishedOrder),
    /// A request for advice was answered or timed out.
    AdviceFinished {
        /// Number of the request, from [`crate::AdviceRequest`].
        request_id: u64,
        /// Answer of the service; `None` if the request was not answered.
        answer: Option<AdviceAnswer>,
    },
    /// The worker's machine goes down soon; nothing is placed on the worker for a while.
    AvoidWorker(WorkerName),
    /// Time has passed.
    Tick,
}
