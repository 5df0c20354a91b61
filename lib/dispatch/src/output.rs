use serde::{Deserialize, Serialize};
use tarragon_names::{HostName, Millis, WorkerName};
use tarragon_workflow::{Command, StepKey};

use crate::{DecisionEvent, PollCall, StartOrder, StopOrder, ThrottleOrder};

/// A call for advice.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AdviceRequest {
    /// Number of the call.
    pub request_id: u64,
    /// Host that makes the call.
    pub host: HostName,
    /// The step.
    pub step: StepKey,
    /// Workers to be judged.
    pub workers: Vec<WorkerName>,
    /// Time after which no answer is expected.
    pub timeout: Millis,
}

/// What the caller of the dispatcher has to do.
#[derive(Clone, Debug)]
pub enum Output {
    /// Append a command to the log.
    Propose(Command),
    /// Look at a worker and renew its lease.
    Poll(PollCall),
    /// Start a run.
    Start(StartOrder),
    /// Stop a run.
    Stop(StopOrder),
    /// Change the pace of a run.
    Throttle(ThrottleOrder),
    /// Ask which workers may run a step.
    RequestAdvice(AdviceRequest),
    /// Write an event.
    Event(DecisionEvent),
}
