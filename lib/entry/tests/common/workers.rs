use std::{
    collections::BTreeMap,
    sync::atomic::{AtomicBool, AtomicUsize, Ordering},
    time::{Duration, Instant},
};

use futures::{FutureExt, future::BoxFuture, future::ready};
use parking_lot::Mutex;
use tarragon_dispatch::{
    FinishedRun, OrderOutcome, PollAnswer, PollCall, PollOutcome, Refusal, RunStatus, StartOrder,
    StopOrder, ThrottleOrder,
};
use tarragon_entry::WorkerCalls;
use tarragon_names::WorkerName;
use tarragon_workflow::{RunEnd, TaskKey, WorkerIncarnation};
use tokio::time::sleep;

/// Time that a worker takes to answer a poll.
const POLL_TIME: Duration = Duration::from_millis(100);

#[derive(Debug)]
struct FakeWorker {
    started_ms: u64,
    started_at: Instant,
    runs: BTreeMap<TaskKey, u32>,
    finished: Vec<FinishedRun>,
}

/// Workers that run every task until it is stopped, and that check for which incarnation an order
/// is meant, unless the test lets them know only their names. A worker that is not listed answers nothing.
#[derive(Debug, Default)]
pub struct Workers {
    by_name: Mutex<BTreeMap<WorkerName, FakeWorker>>,
    start_count: AtomicUsize,
    /// Whether a call names only the worker, so that each of its incarnations carries it out.
    is_called_by_name: AtomicBool,
    /// Tasks that are not running, with the cause and the time of their end.
    away: Mutex<BTreeMap<TaskKey, (Cause, Instant)>>,
}

/// Why a worker ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Cause {
    Upkeep,
    Crash,
}

/// Time after which a task counts as away that was not ended by an order.
const NOTICE_TIME: Duration = Duration::from_millis(4_500);

impl Workers {
    pub fn start(&self, incarnation: &WorkerIncarnation) {
        let worker = FakeWorker {
            started_ms: incarnation.started_ms,
            started_at: Instant::now(),
            runs: BTreeMap::new(),
            finished: Vec::new(),
        };
        self.by_name
            .lock()
            .insert(incarnation.worker.clone(), worker);
    }

    /// Ends a worker with all its runs.
    pub fn end(&self, worker: &WorkerName, cause: Cause) {
        let Some(ended) = self.by_name.lock().remove(worker) else {
            return;
        };
        let tasks = ended.runs.into_keys();
        let now = Instant::now();
        self.away
            .lock()
            .extend(tasks.map(|task| (task, (cause, now))));
    }

    /// Number of tasks that an upkeep ended, or that have been away for long, and do not run again.
    pub fn tasks_away(&self) -> usize {
        let away = self.away.lock();
        let away = away.values();
        let away = away.filter(|(cause, at)| *cause == Cause::Upkeep || at.elapsed() > NOTICE_TIME);
        away.count()
    }

    pub fn run_count(&self) -> usize {
        self.by_name
            .lock()
            .values()
            .map(|worker| worker.runs.len())
            .sum()
    }

    /// Number of start orders that were carried out.
    pub fn start_count(&self) -> usize {
        self.start_count.load(Ordering::Relaxed)
    }

    /// Lets each incarnation of a worker carry out the calls for the others.
    pub fn let_calls_name_workers(&self) {
        self.is_called_by_name.store(true, Ordering::Relaxed);
    }

    fn is_meant(&self, worker: &FakeWorker, incarnation: &WorkerIncarnation) -> bool {
        worker.started_ms == incarnation.started_ms
            || self.is_called_by_name.load(Ordering::Relaxed)
    }

    fn order<F>(
        &self,
        incarnation: &WorkerIncarnation,
        order: F,
    ) -> BoxFuture<'static, OrderOutcome>
    where
        F: FnOnce(&mut FakeWorker),
    {
        let outcome = match self.by_name.lock().get_mut(&incarnation.worker) {
            None => OrderOutcome::Unanswered,
            Some(worker) if !self.is_meant(worker, incarnation) => {
                OrderOutcome::Refused(Refusal::OtherIncarnation)
            }
            Some(worker) => {
                order(worker);
                OrderOutcome::Accepted
            }
        };
        ready(outcome).boxed()
    }

    fn status(&self, call: &PollCall) -> PollOutcome {
        let mut workers = self.by_name.lock();
        let Some(worker) = workers.get_mut(&call.incarnation.worker) else {
            return PollOutcome::Unanswered;
        };
        if !self.is_meant(worker, &call.incarnation) {
            return PollOutcome::OtherIncarnation;
        }
        worker.finished.retain(|end| end.number > call.acknowledged);
        let running = worker.runs.iter().map(|(task, run)| RunStatus {
            task: *task,
            run: *run,
            checkpoint: None,
            percent: 100,
            usage_or_tail_ms: None,
        });
        PollOutcome::Answered(PollAnswer {
            started_ms: Some(worker.started_ms),
            clock_ms: worker.started_at.elapsed().as_millis() as u64,
            running: running.collect(),
            finished: worker.finished.clone(),
            is_truncated: false,
        })
    }
}

impl WorkerCalls for Workers {
    fn start(&self, order: StartOrder, _: Duration) -> BoxFuture<'static, OrderOutcome> {
        self.order(&order.incarnation, |worker| {
            self.start_count.fetch_add(1, Ordering::Relaxed);
            self.away.lock().remove(&order.task);
            worker.runs.insert(order.task, order.run);
        })
    }

    fn stop(&self, order: StopOrder, _: Duration) -> BoxFuture<'static, OrderOutcome> {
        self.order(&order.incarnation, |worker| {
            if worker.runs.remove(&order.task).is_some() {
                let number = worker.finished.last().map_or(1, |end| end.number + 1);
                worker.finished.push(FinishedRun {
                    number,
                    task: order.task,
                    run: order.run,
                    end: RunEnd::Stopped,
                    checkpoint: None,
                });
            }
        })
    }

    fn throttle(&self, order: ThrottleOrder, _: Duration) -> BoxFuture<'static, OrderOutcome> {
        self.order(&order.incarnation, |_| ())
    }

    fn poll(&self, call: PollCall, _: Duration) -> BoxFuture<'static, PollOutcome> {
        let outcome = self.status(&call);
        async move {
            sleep(POLL_TIME).await;
            outcome
        }
        .boxed()
    }
}
