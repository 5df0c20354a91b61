use std::{fmt::Debug, sync::Arc, time::Duration};

use futures::future::BoxFuture;
use tarragon_dispatch::{
    AdviceAnswer, OrderOutcome, PollCall, PollOutcome, StartOrder, StopOrder, ThrottleOrder,
};
use tarragon_names::{Name, WorkerName};
use tarragon_upkeep::Machine;
use tarragon_workflow::{StepKey, WaveKey};

/// Calls to workers.
pub trait WorkerCalls: Debug + Send + Sync {
    /// Starts a run.
    fn start(&self, order: StartOrder, timeout: Duration) -> BoxFuture<'static, OrderOutcome>;

    /// Stops a run.
    fn stop(&self, order: StopOrder, timeout: Duration) -> BoxFuture<'static, OrderOutcome>;

    /// Changes the pace of a run.
    fn throttle(&self, order: ThrottleOrder, timeout: Duration)
    -> BoxFuture<'static, OrderOutcome>;

    /// Looks at a worker.
    fn poll(&self, call: PollCall, timeout: Duration) -> BoxFuture<'static, PollOutcome>;
}

/// Calls to the service that knows which workers may run a step.
pub trait AdviceCalls: Debug + Send + Sync {
    /// Asks about workers; nothing if no answer came in time.
    fn request_advice(
        &self,
        step: StepKey,
        workers: Vec<WorkerName>,
        timeout: Duration,
    ) -> BoxFuture<'static, Option<AdviceAnswer>>;
}

/// What became of an order for a machine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MachineOutcome {
    /// It is carried out, now or before.
    Done,
    /// Nothing was done.
    Refused,
    /// No answer came; it may have been carried out.
    Unanswered,
}

/// Calls to the platform about machines.
pub trait MachineCalls: Debug + Send + Sync {
    /// Lists all machines; nothing if a part of the list is missing.
    fn list(&self, timeout: Duration) -> BoxFuture<'static, Option<Vec<Machine>>>;

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

/// What the host calls outside of the system.
#[derive(Clone, Debug)]
pub struct ExternalServices {
    /// The workers.
    pub workers: Arc<dyn WorkerCalls>,
    /// The advice service.
    pub advice: Arc<dyn AdviceCalls>,
    /// The platform, about machines.
    pub machines: Arc<dyn MachineCalls>,
}
