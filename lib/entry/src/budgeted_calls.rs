use std::{
    collections::HashMap,
    fmt,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use futures::{FutureExt, future::BoxFuture};
use parking_lot::Mutex;
use tarragon_delivery::{Admission, BudgetLimits, OrderBudget, Urgency};
use tarragon_dispatch::{
    OrderOutcome, PollCall, PollOutcome, StartOrder, StopOrder, ThrottleOrder,
};
use tarragon_names::{Millis, WorkerName};
use tokio::{sync::oneshot, time::timeout};

use crate::{EntryMetrics, WorkerCalls, worker_order::kind_label};

/// Times of a call, both from its request on.
#[derive(Clone, Copy, Debug)]
struct CallTimes {
    /// Time within which the call has to be opened.
    max_wait: Duration,
    /// Time within which the call has to end.
    max_time: Duration,
}

impl CallTimes {
    /// Times of an order to change a run. One that has waited for half of its timeout is not sent, which is
    /// known, where an answer would hardly come in time.
    fn of_order(timeout: Millis, max_time: Duration) -> Self {
        Self {
            max_wait: Duration::from_millis(timeout.0 / 2),
            max_time,
        }
    }

    fn of_poll(max_time: Duration) -> Self {
        Self {
            max_wait: max_time,
            max_time,
        }
    }
}

struct WaitingCall {
    worker: WorkerName,
    urgency: Urgency,
    granted_tx: oneshot::Sender<()>,
}

/// The budget and the calls that wait for it.
struct Shared {
    budget: OrderBudget,
    waiting: HashMap<u64, WaitingCall>,
}

impl Shared {
    /// Opens waiting calls as long as there is room.
    fn grant_waiting(&mut self) {
        while let Some(id) = self.budget.grant_next() {
            let Some(call) = self.waiting.remove(&id) else {
                continue;
            };
            if call.granted_tx.send(()).is_err() {
                // The caller is gone.
                self.budget.release(&call.worker, call.urgency);
            }
        }
    }
}

/// Calls to workers within an [`OrderBudget`]. A call for which there is no room in time is not
/// made.
#[derive(Clone)]
pub(crate) struct BudgetedCalls {
    inner: Arc<dyn WorkerCalls>,
    shared: Arc<Mutex<Shared>>,
    last_id: Arc<AtomicU64>,
    metrics: EntryMetrics,
}

impl fmt::Debug for BudgetedCalls {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("BudgetedCalls").finish_non_exhaustive()
    }
}

/// An open call; ends it in the budget when dropped.
struct OpenCall {
    shared: Arc<Mutex<Shared>>,
    worker: WorkerName,
    urgency: Urgency,
}

impl Drop for OpenCall {
    fn drop(&mut self) {
        let mut shared = self.shared.lock();
        shared.budget.release(&self.worker, self.urgency);
        shared.grant_waiting();
    }
}

impl BudgetedCalls {
    pub(crate) fn new(
        inner: Arc<dyn WorkerCalls>,
        limits: BudgetLimits,
        metrics: EntryMetrics,
    ) -> Self {
        let shared = Shared {
            budget: OrderBudget::new(limits),
            waiting: HashMap::new(),
        };
        Self {
            inner,
            shared: Arc::new(Mutex::new(shared)),
            last_id: Arc::default(),
            metrics,
        }
    }

    /// Waits until a call may be opened, at most for `max_wait`.
    async fn open(
        &self,
        worker: WorkerName,
        urgency: Urgency,
        max_wait: Duration,
    ) -> Option<OpenCall> {
        let id = self.last_id.fetch_add(1, Ordering::Relaxed);
        let (granted_tx, mut granted_rx) = oneshot::channel();
        let is_granted = match self.request(id, &worker, urgency, granted_tx) {
            Admission::Granted => true,
            Admission::Rejected => false,
            Admission::Queued => match timeout(max_wait, &mut granted_rx).await {
                Ok(answer) => answer.is_ok(),
                Err(_elapsed) => {
                    let mut shared = self.shared.lock();
                    if shared.waiting.remove(&id).is_some() {
                        shared.budget.cancel(id, urgency);
                    }
                    // The call may have been granted just now.
                    granted_rx.try_recv().is_ok()
                }
            },
        };
        is_granted.then(|| OpenCall {
            shared: Arc::clone(&self.shared),
            worker,
            urgency,
        })
    }

    fn request(
        &self,
        id: u64,
        worker: &WorkerName,
        urgency: Urgency,
        granted_tx: oneshot::Sender<()>,
    ) -> Admission {
        let mut shared = self.shared.lock();
        let (admission, displaced) = shared.budget.request(id, worker, urgency);
        if admission == Admission::Queued {
            let call = WaitingCall {
                worker: worker.clone(),
                urgency,
                granted_tx,
            };
            shared.waiting.insert(id, call);
        }
        if let Some(displaced) = displaced {
            // Dropping the sender ends the wait of the displaced call.
            shared.waiting.remove(&displaced);
        }
        let open = shared.budget.open_count() as i64;
        self.metrics.open_worker_calls.set(open);
        let waiting = shared.budget.waiting_count() as i64;
        self.metrics.waiting_worker_calls.set(waiting);
        admission
    }

    /// Opens a call, makes it with the time that is left, and ends it.
    async fn call<C, R>(
        self,
        worker: WorkerName,
        urgency: Urgency,
        times: CallTimes,
        not_sent: R,
        call: C,
    ) -> R
    where
        C: FnOnce(Arc<dyn WorkerCalls>, Duration) -> BoxFuture<'static, R> + Send,
        R: Send,
    {
        let begun = Instant::now();
        let opened = self.open(worker, urgency, times.max_wait).await;
        let waits = &self.metrics.order_wait;
        let wait = waits.with_label_values(&[kind_label(urgency)]);
        wait.observe(begun.elapsed().as_secs_f64());
        let Some(_open) = opened else {
            return not_sent;
        };
        let left = times.max_time.saturating_sub(begun.elapsed());
        call(Arc::clone(&self.inner), left).await
    }
}

impl WorkerCalls for BudgetedCalls {
    fn start(&self, order: StartOrder, timeout: Duration) -> BoxFuture<'static, OrderOutcome> {
        let (calls, worker) = (self.clone(), order.incarnation.worker.clone());
        calls
            .call(
                worker,
                Urgency::Start,
                CallTimes::of_order(order.timeout, timeout),
                OrderOutcome::NotSent,
                |inner, left| inner.start(order, left),
            )
            .boxed()
    }

    fn stop(&self, order: StopOrder, timeout: Duration) -> BoxFuture<'static, OrderOutcome> {
        let (calls, worker) = (self.clone(), order.incarnation.worker.clone());
        calls
            .call(
                worker,
                Urgency::Stop,
                CallTimes::of_order(order.timeout, timeout),
                OrderOutcome::NotSent,
                |inner, left| inner.stop(order, left),
            )
            .boxed()
    }

    fn throttle(
        &self,
        order: ThrottleOrder,
        timeout: Duration,
    ) -> BoxFuture<'static, OrderOutcome> {
        let (calls, worker) = (self.clone(), order.incarnation.worker.clone());
        calls
            .call(
                worker,
                Urgency::Throttle,
                CallTimes::of_order(order.timeout, timeout),
                OrderOutcome::NotSent,
                |inner, left| inner.throttle(order, left),
            )
            .boxed()
    }

    fn poll(&self, call: PollCall, timeout: Duration) -> BoxFuture<'static, PollOutcome> {
        let (calls, worker) = (self.clone(), call.incarnation.worker.clone());
        calls
            .call(
                worker,
                Urgency::Poll,
                CallTimes::of_poll(timeout),
                PollOutcome::NotSent,
                |inner, left| inner.poll(call, left),
            )
            .boxed()
    }
}
