use std::{fmt::Debug, sync::Arc, time::Duration};

use futures::future::BoxFuture;
use tarragon_dispatch::{AdviceAnswer, HoldCall, HoldOutcome, OrderOutcome, StartOrder, StopOrder};
use tarragon_names::WorkerName;
use tarragon_workflow::StepKey;

/// Calls to workers.
pub trait WorkerCalls: Debug + Send + Sync {
    /// Starts a run.
    fn start(&self, order: StartOrder, limit: Duration) -> BoxFuture<'static, OrderOutcome>;

    /// Stops a run.
    fn stop(&self, order: StopOrder, limit: Duration) -> BoxFuture<'static, OrderOutcome>;

    /// Looks at a worker.
    fn hold(&self, call: HoldCall, limit: Duration) -> BoxFuture<'static, HoldOutcome>;
}

/// Calls to the service that knows which workers may run a step.
pub trait AdviceCalls: Debug + Send + Sync {
    /// Asks about workers; nothing if no answer came in time.
    fn ask(
        &self,
        step: StepKey,
        workers: Vec<WorkerName>,
        limit: Duration,
    ) -> BoxFuture<'static, Option<AdviceAnswer>>;
}

/// What the host calls outside of the system.
#[derive(Clone, Debug)]
pub struct Outside {
    /// The workers.
    pub workers: Arc<dyn WorkerCalls>,
    /// The advice service.
    pub advice: Arc<dyn AdviceCalls>,
}
