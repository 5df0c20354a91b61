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

/// Shards of the table of pools.
const SHARD_COUNT: usize = 16;

/// Time after which callers should retry if no executor of a pool is known.
const NO_EXECUTOR_RETRY_AFTER_MS: u64 = 1_000;

/// Destination of a request, with its slot if the executor is registered with this host.
#[derive(Debug)]
pub(crate) enum Assignment {
    /// An executor of this host.
    Local(Slot),
    /// Another home host, which assigns a slot of its own.
    Remote(HostName),
}

/// Channel to a waiting request for its assignment, or for the reason why it gets none.
type AssignmentSender = oneshot::Sender<Outcome<Assignment>>;

#[derive(Debug, Default)]
struct PoolState {
    queue: AdmissionQueue<AssignmentSender>,
    retry_budget: RetryBudget,
}

/// Assigns slots to requests and queues the requests for which no slot is free.
#[derive(Debug)]
pub(crate) struct Dispatcher {
    start: Instant,
    router: Router,
    pools: Sharded<HashMap<PoolName, PoolState>>,
}

impl Dispatcher {
    pub(crate) fn new(cfg: RoutingConfig, clock_offset: u64, ids: RequestIds) -> Self {
        Self {
            start: Instant::now(),
            router: Router::new(cfg, clock_offset, ids),
            pools: Sharded::new(SHARD_COUNT, |_| HashMap::new()),
        }
    }

    /// Time since the creation of this dispatcher.
    pub(crate) fn now(&self) -> Millis {
        Millis(self.start.elapsed().as_millis() as u64)
    }

    /// Converts a time of [`Self::now`] into an instant of tokio's clock.
    pub(crate) fn instant(&self, at: Millis) -> TokioInstant {
        TokioInstant::from_std(self.start + Duration::from_millis(at.0))
    }

    pub(crate) fn router(&self) -> &Router {
        &self.router
    }

    /// Assigns a slot to a request, and waits until the deadline if none is free.
    ///
    /// Every error means that the request was not sent.
    pub(crate) async fn acquire(
        self: &Arc<Self>,
        entry: &CatalogueEntry,
        pool: &PoolName,
        deadline: Millis,
    ) -> Outcome<Assignment> {
        let now = self.now();
        if now >= deadline {
            return Err(Failure::of(Code::DeadlinePassed));
        }
        // A new request must not overtake the waiting ones.
        if self.waiting_count(pool) == 0 {
            match self.router.choose(pool, now) {
                RoutingDecision::Send(target) => return Ok(self.assignment(target)),
                RoutingDecision::Busy => {}
                RoutingDecision::NoExecutor => return Err(no_executor(pool)),
            }
        }
        let (tx, rx) = oneshot::channel();
        let mut dropped = Vec::new();
        let max_waiting = entry.limits.max_waiting;
        let enqueued = self.with_pool(pool, |state| {
            state
                .queue
                .enqueue(&entry.pattern, max_waiting, deadline, now, tx, &mut dropped)
        });
        refuse(dropped);
        let ticket = enqueued?;
        // A slot may have become free after the routing decision and before the request was queued.
        self.assign_free_slots(pool);
        if let Ok(received) = timeout_at(self.instant(deadline), rx).await {
            received.unwrap_or_else(|_| Err(Failure::of(Code::Stopping)))
        } else {
            self.with_pool(pool, |state| state.queue.remove(ticket));
            Err(Failure::of(Code::NoSlot))
        }
    }

    /// Assigns a slot of an executor of this host to a forwarded request, without waiting.
    pub(crate) fn acquire_local(self: &Arc<Self>, pool: &PoolName) -> Outcome<Slot> {
        match self.router.choose_local(pool, self.now()) {
            RoutingDecision::Send(Target::Local(grant)) => Ok(Slot::new(Arc::clone(self), grant)),
            RoutingDecision::NoExecutor => Err(no_executor(pool)),
            RoutingDecision::Send(Target::Remote(_)) | RoutingDecision::Busy => {
                Err(Failure::of(Code::NoSlot))
            }
        }
    }

    /// Releases the slot of a request that has ended, and assigns free slots to waiting requests.
    pub(crate) fn release_slot(self: &Arc<Self>, grant: &Grant, end: RequestEnd) {
        let now = self.now();
        self.router.executors().release_slot(grant, end, now);
        if end == RequestEnd::Answered {
            self.with_pool(&grant.pool, |state| {
                state.queue.record_run_time(now.since(grant.granted_at));
            });
        }
        self.assign_free_slots(&grant.pool);
    }

    /// Releases an unused slot without assigning it to a waiting request.
    pub(crate) fn release_unused(&self, grant: &Grant) {
        self.router
            .executors()
            .release_slot(grant, RequestEnd::NotSent, self.now());
    }

    /// Assigns free slots to the waiting requests of a pool.
    pub(crate) fn assign_free_slots(self: &Arc<Self>, pool: &PoolName) {
        while self.waiting_count(pool) > 0 {
            let now = self.now();
            let RoutingDecision::Send(target) = self.router.choose(pool, now) else {
                return;
            };
            let assignment = self.assignment(target);
            let mut dropped = Vec::new();
            let next = self.with_pool(pool, |state| state.queue.dequeue(now, &mut dropped));
            refuse(dropped);
            let unused = match next {
                Some(waiter) => waiter.send(Ok(assignment)).err(),
                None => Some(Ok(assignment)),
            };
            if let Some(Ok(Assignment::Local(slot))) = unused {
                slot.release_unused();
            }
        }
    }

    /// Assigns free slots to the waiting requests of all pools.
    pub(crate) fn assign_all_free_slots(self: &Arc<Self>) {
        let mut pools_with_waiting = Vec::new();
        self.pools.for_each(|pools| {
            pools_with_waiting.extend(
                pools
                    .iter()
                    .filter(|(_, state)| !state.queue.is_empty())
                    .map(|(pool, _)| pool.clone()),
            );
        });
        for pool in pools_with_waiting {
            self.assign_free_slots(&pool);
        }
    }

    /// Counts an answered request in the retry budget of its pool.
    pub(crate) fn record_success(&self, pool: &PoolName) {
        let now = self.now();
        self.with_pool(pool, |state| state.retry_budget.record_success(now));
    }

    /// Consumes a retry of a pool; false if the retry budget of the pool is used up.
    pub(crate) fn try_take_retry(&self, pool: &PoolName) -> bool {
        let now = self.now();
        self.with_pool(pool, |state| state.retry_budget.try_take(now))
    }

    /// Average run time of the requests of a pool.
    pub(crate) fn average_run_time(&self, pool: &PoolName) -> Millis {
        self.with_pool(pool, |state| state.queue.average_run_time())
    }

    /// Number of waiting requests in all pools.
    pub(crate) fn total_waiting(&self) -> usize {
        let mut total = 0;
        self.pools.for_each(|pools| {
            total += pools.values().map(|state| state.queue.len()).sum::<usize>();
        });
        total
    }

    fn waiting_count(&self, pool: &PoolName) -> usize {
        self.with_pool(pool, |state| state.queue.len())
    }

    fn assignment(self: &Arc<Self>, target: Target) -> Assignment {
        match target {
            Target::Local(grant) => Assignment::Local(Slot::new(Arc::clone(self), grant)),
            Target::Remote(host) => Assignment::Remote(host),
        }
    }

    fn with_pool<F, R>(&self, pool: &PoolName, f: F) -> R
    where
        F: FnOnce(&mut PoolState) -> R,
    {
        self.pools.with(pool, |pools| {
            if let Some(known) = pools.get_mut(pool) {
                return f(known);
            }
            f(pools.entry(pool.clone()).or_default())
        })
    }
}

/// Rejects requests that can no longer be answered in time.
fn refuse(dropped: Vec<AssignmentSender>) {
    for waiter in dropped {
        // Sending fails if the caller no longer waits.
        let _result = waiter.send(Err(Failure::of(Code::DeadlinePassed)));
    }
}

fn no_executor(pool: &PoolName) -> Failure {
    Failure::new(
        Code::NoExecutor,
        format!("no executor of pool {pool} is known here"),
    )
    .retry_after(NO_EXECUTOR_RETRY_AFTER_MS)
}
