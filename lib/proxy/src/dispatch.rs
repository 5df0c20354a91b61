use std::{
    collections::HashMap,
    sync::Arc,
    time::{Duration, Instant},
};

use tarragon_catalogue::CatalogueEntry;
use tarragon_codes::{Code, Failure, Outcome};
use tarragon_names::{HostName, Millis, PoolName};
use tarragon_routing::{
    AdmissionQueue, Grant, RequestEnd, RequestIds, RetryBudget, Router, RoutingConfig,
    RoutingDecision, Target,
};
use tarragon_shard::Sharded;
use tokio::{
    sync::oneshot,
    time::{Instant as TokioInstant, timeout_at},
};

use crate::slot::Slot;

/// Shards of the pools' queues.
const SHARDS: usize = 16;

/// Time told to callers when no executor of a pool is known.
const NO_EXECUTOR_RETRY_MS: u64 = 1_000;

/// Where a request goes, with the slot it holds there.
#[derive(Debug)]
pub(crate) enum Assigned {
    /// To an executor of this host.
    Local(Slot),
    /// To another home host.
    Remote(HostName),
}

/// Tells a waiting request where it goes, or why it does not.
type Waiter = oneshot::Sender<Outcome<Assigned>>;

#[derive(Debug, Default)]
struct Pool {
    admission: AdmissionQueue<Waiter>,
    budget: RetryBudget,
}

/// Hands slots to requests and lets the others wait.
#[derive(Debug)]
pub(crate) struct Dispatch {
    start: Instant,
    router: Router,
    pools: Sharded<HashMap<PoolName, Pool>>,
}

impl Dispatch {
    pub(crate) fn new(cfg: RoutingConfig, clock_offset: u64, ids: RequestIds) -> Self {
        Self {
            start: Instant::now(),
            router: Router::new(cfg, clock_offset, ids),
            pools: Sharded::new(SHARDS, |_| HashMap::new()),
        }
    }

    /// Time since the start of this process.
    pub(crate) fn now(&self) -> Millis {
        Millis(self.start.elapsed().as_millis() as u64)
    }

    /// The moment of a reading.
    pub(crate) fn instant(&self, at: Millis) -> TokioInstant {
        TokioInstant::from_std(self.start + Duration::from_millis(at.0))
    }

    pub(crate) fn router(&self) -> &Router {
        &self.router
    }

    /// Gets a slot for a request, after a wait if need be.
    ///
    /// Any error says that the request was not sent.
    pub(crate) async fn acquire(
        self: &Arc<Self>,
        entry: &CatalogueEntry,
        pool: &PoolName,
        deadline: Millis,
    ) -> Outcome<Assigned> {
        let now = self.now();
        if now >= deadline {
            return Err(Failure::of(Code::DeadlinePassed));
        }
        // A newcomer must not overtake the requests that wait.
        if self.waiting(pool) == 0 {
            match self.router.choose(pool, now) {
                RoutingDecision::Send(target) => return Ok(self.assign(target)),
                RoutingDecision::Busy => {}
                RoutingDecision::NoExecutor => return Err(no_executor(pool)),
            }
        }
        let (tx, rx) = oneshot::channel();
        let mut dropped = Vec::new();
        let most = entry.limits.max_waiting;
        let entered = self.with_pool(pool, |queue| {
            queue
                .admission
                .enqueue(&entry.pattern, most, deadline, now, tx, &mut dropped)
        });
        refuse(dropped);
        let ticket = entered?;
        // A slot may have become free between the choice and the entry.
        self.pump(pool);
        if let Ok(received) = timeout_at(self.instant(deadline), rx).await {
            received.unwrap_or_else(|_| Err(Failure::of(Code::Stopping)))
        } else {
            self.with_pool(pool, |queue| queue.admission.remove(ticket));
            Err(Failure::of(Code::NoSlot))
        }
    }

    /// Gets a slot of an own executor at once, for a request that another host forwarded.
    pub(crate) fn acquire_own(self: &Arc<Self>, pool: &PoolName) -> Outcome<Slot> {
        match self.router.choose_local(pool, self.now()) {
            RoutingDecision::Send(Target::Local(grant)) => Ok(Slot::new(Arc::clone(self), grant)),
            RoutingDecision::NoExecutor => Err(no_executor(pool)),
            RoutingDecision::Send(Target::Remote(_)) | RoutingDecision::Busy => {
                Err(Failure::of(Code::NoSlot))
            }
        }
    }

    /// Ends a request and gives its slot to one that waits.
    pub(crate) fn finish(self: &Arc<Self>, grant: &Grant, end: RequestEnd) {
        let now = self.now();
        self.router.executors().release_slot(grant, end, now);
        if end == RequestEnd::Answered {
            self.with_pool(&grant.pool, |queue| {
                queue.admission.record_run_time(now.since(grant.granted_at));
            });
        }
        self.pump(&grant.pool);
    }

    /// Gives an unused slot back.
    pub(crate) fn put_back(&self, grant: &Grant) {
        self.router
            .executors()
            .release_slot(grant, RequestEnd::NotSent, self.now());
    }

    /// Hands free slots to requests that wait.
    pub(crate) fn pump(self: &Arc<Self>, pool: &PoolName) {
        while self.waiting(pool) > 0 {
            let now = self.now();
            let RoutingDecision::Send(target) = self.router.choose(pool, now) else {
                return;
            };
            let assigned = self.assign(target);
            let mut dropped = Vec::new();
            let next = self.with_pool(pool, |queue| queue.admission.dequeue(now, &mut dropped));
            refuse(dropped);
            let unused = match next {
                Some(waiter) => waiter.send(Ok(assigned)).err(),
                None => Some(Ok(assigned)),
            };
            if let Some(Ok(Assigned::Local(slot))) = unused {
                slot.put_back();
            }
        }
    }

    /// Hands free slots out in every pool.
    pub(crate) fn pump_all(self: &Arc<Self>) {
        let mut waiting = Vec::new();
        self.pools.for_each(|pools| {
            waiting.extend(
                pools
                    .iter()
                    .filter(|(_, queue)| !queue.admission.is_empty())
                    .map(|(pool, _)| pool.clone()),
            );
        });
        for pool in waiting {
            self.pump(&pool);
        }
    }

    /// Counts a request that was answered, for the retry budget of its pool.
    pub(crate) fn succeeded(&self, pool: &PoolName) {
        let now = self.now();
        self.with_pool(pool, |queue| queue.budget.record_success(now));
    }

    /// Takes a retry from the budget of a pool, if it holds one.
    pub(crate) fn take_retry(&self, pool: &PoolName) -> bool {
        let now = self.now();
        self.with_pool(pool, |queue| queue.budget.try_take(now))
    }

    /// Time that a request of a pool runs on average.
    pub(crate) fn run_time(&self, pool: &PoolName) -> Millis {
        self.with_pool(pool, |queue| queue.admission.average_run_time())
    }

    /// Requests that wait in all pools.
    pub(crate) fn waiting_total(&self) -> usize {
        let mut total = 0;
        self.pools.for_each(|pools| {
            total += pools
                .values()
                .map(|queue| queue.admission.len())
                .sum::<usize>();
        });
        total
    }

    fn waiting(&self, pool: &PoolName) -> usize {
        self.with_pool(pool, |queue| queue.admission.len())
    }

    fn assign(self: &Arc<Self>, target: Target) -> Assigned {
        match target {
            Target::Local(grant) => Assigned::Local(Slot::new(Arc::clone(self), grant)),
            Target::Remote(host) => Assigned::Remote(host),
        }
    }

    fn with_pool<F, R>(&self, pool: &PoolName, f: F) -> R
    where
        F: FnOnce(&mut Pool) -> R,
    {
        self.pools.with(pool, |pools| {
            if let Some(known) = pools.get_mut(pool) {
                return f(known);
            }
            f(pools.entry(pool.clone()).or_default())
        })
    }
}

fn refuse(dropped: Vec<Waiter>) {
    for waiter in dropped {
        // A caller that is gone needs no answer.
        let _gone = waiter.send(Err(Failure::of(Code::DeadlinePassed)));
    }
}

fn no_executor(pool: &PoolName) -> Failure {
    Failure::new(
        Code::NoExecutor,
        format!("no executor of pool {pool} is known here"),
    )
    .retry_after(NO_EXECUTOR_RETRY_MS)
}
