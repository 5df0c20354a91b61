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
use tokio::time::timeout;

use crate::WorkerCalls;

/// Time that a poll may take in addition to the delay that the worker is allowed.
const POLL_SLACK: Millis = Millis(600);

/// Time after its timeout for which the answer to an order is awaited. An answer that comes late spares a
/// repeat, and its connection is kept.
pub(crate) const LATE_ANSWER_TIME: Millis = Millis(600);

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

    /// Whether an earlier order for the same run got no answer.
    pub(crate) fn is_repeated(&self) -> bool {
        matches!(self, Self::Start(order) if order.is_repeated)
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

    /// Calls the worker and reports the result. An order that gets no answer in time is reported as
    /// unanswered, and reported again if its answer comes within [`LATE_ANSWER_TIME`].
    pub(crate) async fn send<F>(self, workers: &dyn WorkerCalls, mut report: F)
    where
        F: FnMut(OrderResult),
    {
        let is_poll = matches!(self, Self::Poll(_));
        let limit = Duration::from_millis(self.timeout().0);
        let mut call = self.call(workers);
        if is_poll {
            report(call.await);
            return;
        }
        if let Ok(result) = timeout(limit, &mut call).await {
            report(result);
            return;
        }
        report(OrderResult::Order(OrderOutcome::Unanswered));
        if let OrderResult::Order(outcome) = call.await
            && outcome != OrderOutcome::Unanswered
        {
            report(OrderResult::LateOrder(outcome));
        }
    }

    /// Calls the worker; the call of an order to change a run may take longer than the order.
    fn call(self, workers: &dyn WorkerCalls) -> BoxFuture<'static, OrderResult> {
        let timeout = match &self {
            Self::Poll(_) => self.timeout(),
            _ => self.timeout() + LATE_ANSWER_TIME,
        };
        let timeout = Duration::from_millis(timeout.0);
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
    /// Outcome of an order that was reported as unanswered before.
    LateOrder(OrderOutcome),
}

/// Label in metrics of orders of this urgency.
pub(crate) fn kind_label(urgency: Urgency) -> &'static str {
    match urgency {
        Urgency::Poll => "hold",
        Urgency::Stop => "stop",
        Urgency::Start => "start",
        Urgency::Throttle => "pace",
    }
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
        kind_label(self.urgency)
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
    /// another kind of order, or changes nothing.
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
            (Urgency::Start, Some((task, run)), OrderResult::LateOrder(outcome)) => {
                Input::StartOrderSettled(FinishedOrder {
                    fence,
                    incarnation,
                    task,
                    run,
                    outcome,
                })
            }
            // The order was or will be repeated after another result.
            (Urgency::Stop, Some(_), OrderResult::LateOrder(outcome))
                if outcome != OrderOutcome::Accepted =>
            {
                return None;
            }
            (
                Urgency::Stop,
                Some((task, run)),
                OrderResult::Order(outcome) | OrderResult::LateOrder(outcome),
            ) => Input::StopOrderFinished(FinishedOrder {
                fence,
                incarnation,
                task,
                run,
                outcome,
            }),
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
