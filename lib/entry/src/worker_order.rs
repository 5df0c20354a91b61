use std::time::Duration;

use futures::{FutureExt, future::BoxFuture};
use serde::{Deserialize, Serialize};
use tarragon_delivery::Urgency;
use tarragon_dispatch::{
    FencingToken, FinishedOrder, Input, OrderOutcome, PollCall, PollOutcome, StartOrder, StopOrder,
    ThrottleOrder,
};
use tarragon_names::{Millis, WorkerName};
use tarragon_workflow::{TaskKey, WorkerIncarnation};

use crate::WorkerCalls;

/// Time that a poll may take in addition to the delay that the worker is allowed.
const POLL_SLACK: Millis = Millis(600);

/// An order of the leader to a worker.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) enum WorkerOrder {
    Poll(PollCall),
    Start(StartOrder),
    Stop(StopOrder),
    Throttle(ThrottleOrder),
}

impl WorkerOrder {
    pub(crate) fn worker(&self) -> &WorkerName {
        let incarnation = match self {
            Self::Poll(call) => &call.incarnation,
            Self::Start(order) => &order.incarnation,
            Self::Stop(order) => &order.incarnation,
            Self::Throttle(order) => &order.incarnation,
        };
        &incarnation.worker
    }

    /// Time after which the order counts as unanswered.
    pub(crate) fn timeout(&self) -> Millis {
        match self {
            Self::Poll(call) => call.wait + POLL_SLACK,
            Self::Start(order) => order.timeout,
            Self::Stop(order) => order.timeout,
            Self::Throttle(order) => order.timeout,
        }
    }

    /// Calls the worker.
    pub(crate) fn send(self, workers: &dyn WorkerCalls) -> BoxFuture<'static, OrderResult> {
        let timeout = Duration::from_millis(self.timeout().0);
        match self {
            Self::Poll(call) => workers.poll(call, timeout).map(OrderResult::Poll).boxed(),
            Self::Start(order) => workers
                .start(order, timeout)
                .map(OrderResult::Order)
                .boxed(),
            Self::Stop(order) => workers.stop(order, timeout).map(OrderResult::Order).boxed(),
            Self::Throttle(order) => workers
                .throttle(order, timeout)
                .map(OrderResult::Order)
                .boxed(),
        }
    }
}

/// Result of an order.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) enum OrderResult {
    Poll(PollOutcome),
    Order(OrderOutcome),
}

/// Identifies an order while its result is awaited.
#[derive(Clone, Debug)]
pub(crate) struct OrderKey {
    pub(crate) urgency: Urgency,
    fence: FencingToken,
    incarnation: WorkerIncarnation,
    /// Task and number of the run; `None` for a poll.
    run: Option<(TaskKey, u32)>,
}

impl OrderKey {
    pub(crate) fn of(order: &WorkerOrder) -> Self {
        let (urgency, fence, incarnation, run) = match order {
            WorkerOrder::Poll(o) => (Urgency::Poll, o.fence, &o.incarnation, None),
            WorkerOrder::Start(o) => {
                let run = Some((o.task, o.run));
                (Urgency::Start, o.fence, &o.incarnation, run)
            }
            WorkerOrder::Stop(o) => {
                let run = Some((o.task, o.run));
                (Urgency::Stop, o.fence, &o.incarnation, run)
            }
            WorkerOrder::Throttle(o) => {
                let run = Some((o.task, o.run));
                (Urgency::Throttle, o.fence, &o.incarnation, run)
            }
        };
        Self {
            urgency,
            fence,
            incarnation: incarnation.clone(),
            run,
        }
    }

    /// Label of the order in metrics.
    pub(crate) fn label(&self) -> &'static str {
        self.urgency.label()
    }

    /// Result of an order whose delivery failed. An order to change a run may have reached the
    /// worker.
    pub(crate) fn undelivered(&self) -> OrderResult {
        if self.urgency == Urgency::Poll {
            OrderResult::Poll(PollOutcome::NotSent)
        } else {
            OrderResult::Order(OrderOutcome::Unanswered)
        }
    }

    /// Returns the input that reports the result to the dispatcher; `None` if the result is that of
    /// another kind of order.
    pub(crate) fn input(self, result: OrderResult) -> Option<Input> {
        let Self {
            urgency,
            fence,
            incarnation,
            run,
        } = self;
        Some(match (urgency, run, result) {
            (Urgency::Poll, None, OrderResult::Poll(outcome)) => Input::PollFinished {
                fence,
                incarnation,
                outcome,
            },
            (Urgency::Start, Some((task, run)), OrderResult::Order(outcome)) => {
                Input::StartOrderFinished(FinishedOrder {
                    fence,
                    incarnation,
                    task,
                    run,
                    outcome,
                })
            }
            (Urgency::Stop, Some((task, run)), OrderResult::Order(outcome)) => {
                Input::StopOrderFinished(FinishedOrder {
                    fence,
                    incarnation,
                    task,
                    run,
                    outcome,
                })
            }
            (Urgency::Throttle, Some((task, run)), OrderResult::Order(outcome)) => {
                Input::ThrottleOrderFinished(FinishedOrder {
                    fence,
                    incarnation,
                    task,
                    run,
                    outcome,
                })
            }
            _ => return None,
        })
    }
}
