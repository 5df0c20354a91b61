use serde::{Deserialize, Serialize};
use tarragon_names::{HostName, Millis, WorkerName};
use tarragon_workflow::{Command, StepKey};

use crate::{DecisionEvent, PollCall, StartOrder, StopOrder, ThrottleOrder};

/// Request for advice on the workers that may run a step.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AdviceRequest {
    /// Number of the request, repeated in [`crate::Input::AdviceFinished`].
    pub request_id: u64,
    /// Host that sends the request to the advice service.
    pub host: HostName,
    /// Step that the workers are judged for.
    pub step: StepKey,
    /// Workers to be judged.
    pub workers: Vec<WorkerName>,
    /// Time after which the request counts as unanswered.
    pub timeout: Millis,
}

/// Actions for the caller of the dispatcher.
#[derive(Clone, Debug)]
pub enum Output {
    /// Append a command to the log.
    Propose(Command),
    /// Poll a worker and renew its lease.
    Poll(PollCall),
    /// Start a run.
    Start(StartOrder),
    /// Stop a run.
    Stop(StopOrder),
    /// Change the rate of a run.
    Throttle(ThrottleOrder),
    /// Ask the advice service which workers may run a step.
    RequestAdvice(AdviceRequest),
    /// Write an event to the log.
    Event(DecisionEvent),
}
