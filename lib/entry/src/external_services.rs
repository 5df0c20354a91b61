use std::{fmt::Debug, sync::Arc, time::Duration};

use futures::future::BoxFuture;
use tarragon_dispatch::{
    AdviceAnswer, OrderOutcome, PollCall, PollOutcome, StartOrder, StopOrder, ThrottleOrder,
};
use tarragon_names::{Name, WorkerName};
use tarragon_upkeep::MachineList;
use tarragon_workflow::{StepKey, WaveKey};

/// Calls to workers.
pub trait WorkerCalls: Debug + Send + Sync {
    /// Starts a run; the outcome is `Unanswered` if no answer came within `timeout`.
    fn start(&self, order: StartOrder, timeout: Duration) -> BoxFuture<'static, OrderOutcome>;

    /// Stops a run.
    fn stop(&self, order: StopOrder, timeout: Duration) -> BoxFuture<'static, OrderOutcome>;

    /// Changes the share of its full rate at which a run works.
    fn throttle(&self, order: ThrottleOrder, timeout: Duration)
    -> BoxFuture<'static, OrderOutcome>;

    /// Polls a worker for the state of its runs and renews its lease.
    fn poll(&self, call: PollCall, timeout: Duration) -> BoxFuture<'static, PollOutcome>;
}

/// Calls to the advice service, which approves the workers that may run a step.
pub trait AdviceCalls: Debug + Send + Sync {
    /// Requests advice about workers; `None` if no valid answer came within `timeout`.
    fn request_advice(
        &self,
        step: StepKey,
        workers: Vec<WorkerName>,
        timeout: Duration,
    ) -> BoxFuture<'static, Option<AdviceAnswer>>;
}

/// Result of an order for a machine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MachineOutcome {
    /// The order was carried out, now or earlier.
    Done,
    /// The platform did nothing, now or for a call that arrives later with a lower token: the
    /// machine is not up.
    Busy,
    /// The platform did nothing, because another holder has used a higher token.
    Fenced,
    /// The platform did nothing.
    Refused,
    /// No answer came; the order may still be carried out.
    Unanswered,
}

/// Calls to the platform about machines.
pub trait MachineCalls: Debug + Send + Sync {
    /// Lists all machines; `None` if a part of the list is missing.
    ///
    /// `timeout` applies to the call for each part of the list.
    fn list(&self, timeout: Duration) -> BoxFuture<'static, Option<MachineList>>;

    /// Orders the upkeep of a machine for a wave, as `holder` with the fencing token `fence`.
    fn begin_upkeep(
        &self,
        machine: Name,
        wave: WaveKey,
        holder: Name,
        fence: u64,
        timeout: Duration,
    ) -> BoxFuture<'static, MachineOutcome>;
}

/// Services outside of the system that a host calls.
#[derive(Clone, Debug)]
pub struct ExternalServices {
    /// Calls to workers.
    pub workers: Arc<dyn WorkerCalls>,
    /// Calls to the advice service.
    pub advice: Arc<dyn AdviceCalls>,
    /// Calls to the platform about machines.
    pub machines: Arc<dyn MachineCalls>,
}
