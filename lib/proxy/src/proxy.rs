use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use tarragon_catalogue::CatalogueEntry;
use tarragon_codes::{Code, Failure, Outcome};
use tarragon_front::{ServiceCall, ServiceReply};
use tarragon_names::{ExecutorName, HostName, Millis, PoolName, Workload};
use tarragon_routing::{Announcement, AnnouncementReply, ExecutorView, LoadSummary, RequestIds};
use tokio::{
    sync::oneshot,
    time::{interval, timeout, timeout_at},
};
use tokio_util::{sync::CancellationToken, task::TaskTracker};

use crate::{
    CatalogueLookup, ForwardReply, KeyLog, Peers, ProxyConfig, ProxyStats,
    connections::Connections,
    counters::{Counters, increment},
    delivery_outcome::DeliveryOutcome,
    dispatcher::{Assignment, Dispatcher},
    exchange::{Exchange, await_outcome, lost},
    slot::Slot,
};

/// Maximum number of targets tried for one request if each attempt fails before a byte is sent.
const MAX_UNSENT_ATTEMPTS: u32 = 4;

/// Half of a request's time is reserved for a retry only if the other half is longer than this number
/// of average run times.
const MIN_RUN_TIMES_PER_SEND: u64 = 3;

/// Interval of the checks for expired connections, silent executors and waiting requests.
const MAINTENANCE_INTERVAL: Duration = Duration::from_millis(100);

/// Upper bound of the time limit of a service request, whatever its catalogue entry says.
const MAX_REQUEST_TIMEOUT_MS: u64 = 30_000;

/// Routes the service requests that arrive at one entry host to executors.
#[derive(Debug)]
pub struct Proxy {
    pub(crate) cfg: ProxyConfig,
    pub(crate) dispatcher: Arc<Dispatcher>,
    pub(crate) counters: Arc<Counters>,
    pub(crate) key_log: Arc<dyn KeyLog>,
    pub(crate) tracker: TaskTracker,
    connections: Arc<Connections>,
    catalogue: Arc<dyn CatalogueLookup>,
    peers: Arc<dyn Peers>,
    is_stopping: AtomicBool,
    last_request_number: AtomicU64,
}

/// A request with the catalogue entry that admits it.
pub(crate) struct AdmittedRequest<'a> {
    pub(crate) call: &'a ServiceCall,
    pub(crate) entry: &'a CatalogueEntry,
    pub(crate) pool: &'a PoolName,
    pub(crate) deadline: Millis,
}

impl Proxy {
    /// Creates a proxy without executors. The caller must also run [`Proxy::run`].
    pub fn new(
        cfg: ProxyConfig,
        catalogue: Arc<dyn CatalogueLookup>,
        peers: Arc<dyn Peers>,
        key_log: Arc<dyn KeyLog>,
    ) -> Self {
        let counters = Arc::<Counters>::default();
        // Dropping 8 bits keeps clock readings far below the maximum, so adding times cannot overflow.
        let clock_offset = cfg.boot >> 8;
        Self {
            dispatcher: Arc::new(Dispatcher::new(
                cfg.routing,
                clock_offset,
                RequestIds::new(&cfg.host, cfg.boot),
            )),
            connections: Arc::new(Connections::new(
                cfg.idle_timeout,
                cfg.connect_timeout,
                Arc::clone(&counters),
            )),
            cfg,
            counters,
            key_log,
            tracker: TaskTracker::new(),
            catalogue,
            peers,
            is_stopping: AtomicBool::new(false),
            last_request_number: AtomicU64::new(0),
        }
    }

    /// Closes expired connections, removes silent executors and assigns free slots to waiting requests
    /// at regular intervals, until `shutdown` is cancelled.
    pub async fn run(&self, shutdown: CancellationToken) {
        let mut tick = interval(MAINTENANCE_INTERVAL);
        loop {
            tokio::select! {
                _ = tick.tick() => {}
                () = shutdown.cancelled() => return,
            }
            self.connections.remove_expired();
            self.dispatcher
                .router()
                .executors()
                .remove_silent(self.dispatcher.now());
            self.dispatcher.assign_all_free_slots();
        }
    }

    /// Serves a request of a caller.
    pub async fn serve(&self, call: ServiceCall) -> Outcome<ServiceReply> {
        increment(&self.counters.requests);
        let outcome = self.serve_uncounted(call).await;
        increment(match &outcome {
            Ok(reply) if reply.stored => &self.counters.stored_answers,
            Ok(_) => &self.counters.answered,
            Err(failure) => match failure.code {
                Code::OutcomeUnknown => &self.counters.not_known,
                Code::CutShort => &self.counters.cut_short,
                _ => &self.counters.refused,
            },
        });
        outcome
    }

    /// Serves a request that another host forwarded. The request runs on an executor of this host or
    /// not at all.
    pub async fn serve_forwarded(&self, call: ServiceCall, limit: Duration) -> ForwardReply {
        increment(&self.counters.served_for_others);
        let _in_flight = self.tracker.token();
        if self.is_stopping.load(Ordering::Relaxed) {
            return ForwardReply::NotSent(Failure::of(Code::Stopping));
        }
        let deadline = self.dispatcher.now() + Millis(limit.as_millis() as u64);
        let (entry, pool) = match self.admit(&call) {
            Ok(admitted) => admitted,
            Err(failure) => return ForwardReply::NotSent(failure),
        };
        let request = AdmittedRequest {
            call: &call,
            entry: &entry,
            pool: &pool,
            deadline,
        };
        let mut attempts = 0;
        loop {
            let slot = match self.dispatcher.acquire_local(&pool) {
                Ok(slot) => slot,
                Err(failure) => return ForwardReply::NotSent(failure),
            };
            attempts += 1;
            match self.send_local(&request, slot, deadline).await {
                DeliveryOutcome::Answered(reply) => return ForwardReply::Answered(reply),
                DeliveryOutcome::Lost(failure) => return ForwardReply::Lost(failure),
                DeliveryOutcome::NotSent(failure) if attempts >= MAX_UNSENT_ATTEMPTS => {
                    return ForwardReply::NotSent(failure);
                }
                DeliveryOutcome::NotSent(_) => {}
            }
        }
    }

    /// Registers an executor or renews its lease, and assigns its free slots to waiting requests.
    pub fn announce(&self, announcement: Announcement) -> Outcome<AnnouncementReply> {
        let pool = announcement.pool.clone();
        let now = self.dispatcher.now();
        let reply = self
            .dispatcher
            .router()
            .executors()
            .announce(announcement, now)?;
        self.dispatcher.assign_free_slots(&pool);
        Ok(reply)
    }

    /// Stores the load summary of another host, and forwards waiting requests to its free slots.
    pub fn update_load_summary(&self, summary: LoadSummary) {
        let pools = summary
            .pools
            .iter()
            .map(|load| load.pool.clone())
            .collect::<Vec<_>>();
        let now = self.dispatcher.now();
        self.dispatcher.router().remote_loads().update(summary, now);
        for pool in pools {
            self.dispatcher.assign_free_slots(&pool);
        }
    }

    /// Load summary for the other hosts; without pools while this host is stopping.
    pub fn load_summary(&self) -> LoadSummary {
        let mut summary = self
            .dispatcher
            .router()
            .load_summary(&self.cfg.host, self.dispatcher.now());
        if self.is_stopping.load(Ordering::Relaxed) {
            summary.pools.clear();
        }
        summary
    }

    /// Starts or cancels draining of an executor; false if the executor is not registered here.
    pub fn drain_executor(&self, name: &ExecutorName, draining: bool) -> bool {
        self.dispatcher
            .router()
            .executors()
            .set_draining(name, draining)
    }

    /// Status of the executors that are registered with this host.
    pub fn executors(&self) -> Vec<ExecutorView> {
        self.dispatcher
            .router()
            .executors()
            .views(&self.cfg.host, self.dispatcher.now())
    }

    /// Current values of the counters.
    pub fn stats(&self) -> ProxyStats {
        self.counters.snapshot()
    }

    /// Number of requests that wait for a slot.
    pub fn waiting_count(&self) -> usize {
        self.dispatcher.total_waiting()
    }

    /// First step of a planned stop: asks executors to announce themselves to another host.
    pub fn move_executors(&self) {
        self.dispatcher
            .router()
            .executors()
            .set_moving_executors(true);
    }

    /// Second step of a planned stop: refuses new requests and waits up to `limit` for those in flight.
    /// True if all of them ended.
    pub async fn drain(&self, limit: Duration) -> bool {
        self.move_executors();
        self.is_stopping.store(true, Ordering::Relaxed);
        self.tracker.close();
        timeout(limit, self.tracker.wait()).await.is_ok()
    }

    /// Sends a request, again if necessary, until a response arrives or no retry is allowed.
    pub(crate) async fn deliver(&self, request: &AdmittedRequest<'_>) -> DeliveryOutcome {
        let limits = &request.entry.limits;
        let max_sends = if request.entry.repeatable && self.cfg.retries_enabled {
            limits.max_sends.max(1)
        } else {
            1
        };
        let mut sends = 0;
        let mut unsent_attempts = 0;
        let mut last_lost = None::<Failure>;
        loop {
            let assignment = match self
                .dispatcher
                .acquire(request.entry, request.pool, request.deadline)
                .await
            {
                Ok(assignment) => assignment,
                Err(failure) => {
                    return last_lost
                        .map_or(DeliveryOutcome::NotSent(failure), DeliveryOutcome::Lost);
                }
            };
            let may_retry = sends + 1 < max_sends;
            let outcome = self
                .send(request, assignment, self.send_deadline(request, may_retry))
                .await;
            match outcome {
                DeliveryOutcome::Answered(reply) => {
                    self.dispatcher.record_success(request.pool);
                    return DeliveryOutcome::Answered(reply);
                }
                DeliveryOutcome::NotSent(failure) => {
                    unsent_attempts += 1;
                    if unsent_attempts >= MAX_UNSENT_ATTEMPTS {
                        return last_lost
                            .map_or(DeliveryOutcome::NotSent(failure), DeliveryOutcome::Lost);
                    }
                }
                DeliveryOutcome::Lost(failure) => {
                    sends += 1;
                    if !may_retry {
                        return DeliveryOutcome::Lost(failure);
                    }
                    if !self.dispatcher.try_take_retry(request.pool) {
                        increment(&self.counters.retries_refused);
                        return DeliveryOutcome::Lost(failure);
                    }
                    increment(&self.counters.retries);
                    last_lost = Some(failure);
                }
            }
        }
    }

    /// Returns a number that is unique among the claims of this process.
    pub(crate) fn next_request_number(&self) -> u64 {
        self.last_request_number.fetch_add(1, Ordering::Relaxed) + 1
    }

    async fn serve_uncounted(&self, call: ServiceCall) -> Outcome<ServiceReply> {
        let arrived_at = self.dispatcher.now();
        let _in_flight = self.tracker.token();
        if self.is_stopping.load(Ordering::Relaxed) {
            return Err(Failure::of(Code::Stopping));
        }
        let (entry, pool) = self.admit(&call)?;
        let entry_timeout_ms = entry.limits.request_timeout_ms;
        let timeout_ms = call
            .timeout_ms
            .map_or(entry_timeout_ms, |ms| ms.min(entry_timeout_ms))
            .clamp(1, MAX_REQUEST_TIMEOUT_MS);
        let request = AdmittedRequest {
            call: &call,
            entry: &entry,
            pool: &pool,
            deadline: arrived_at + Millis(timeout_ms),
        };
        if let Some(key) = call.key.clone() {
            return self.serve_keyed(&request, key, timeout_ms).await;
        }
        match self.deliver(&request).await {
            DeliveryOutcome::Answered(reply) => Ok(reply),
            DeliveryOutcome::NotSent(failure) | DeliveryOutcome::Lost(failure) => Err(failure),
        }
    }

    /// Finds the catalogue entry and the pool of a request; fails if the entry takes no requests.
    fn admit(&self, call: &ServiceCall) -> Outcome<(Arc<CatalogueEntry>, PoolName)> {
        let entry = self.catalogue.resolve(&call.name)?;
        match &entry.pool {
            Some(pool) if entry.workloads.contains(&Workload::Request) => {
                let pool = pool.clone();
                Ok((entry, pool))
            }
            _ => Err(Failure::new(
                Code::KindNotAllowed,
                format!(
                    "catalogue entry {} accepts no service requests",
                    entry.pattern
                ),
            )),
        }
    }

    /// Deadline of one send.
    ///
    /// If a retry is possible, half of the remaining time is reserved for it, so that a connection
    /// without a response does not use up all of the time. If that half is too short for a run, the
    /// send gets all of the time, because two sends that both time out would only waste their slots.
    fn send_deadline(&self, request: &AdmittedRequest<'_>, may_retry: bool) -> Millis {
        let now = self.dispatcher.now();
        let half = Millis(request.deadline.since(now).0 / 2);
        let min_send_time =
            self.dispatcher.average_run_time(request.pool).0 * MIN_RUN_TIMES_PER_SEND;
        if may_retry && half.0 > min_send_time {
            now + half
        } else {
            request.deadline
        }
    }

    async fn send(
        &self,
        request: &AdmittedRequest<'_>,
        assignment: Assignment,
        deadline: Millis,
    ) -> DeliveryOutcome {
        match assignment {
            Assignment::Local(slot) => self.send_local(request, slot, deadline).await,
            Assignment::Remote(host) => self.send_remote(request, host, deadline).await,
        }
    }

    async fn send_local(
        &self,
        request: &AdmittedRequest<'_>,
        slot: Slot,
        deadline: Millis,
    ) -> DeliveryOutcome {
        let executor = slot.grant().executor.clone();
        let exchange = Exchange {
            dispatcher: Arc::clone(&self.dispatcher),
            connections: Arc::clone(&self.connections),
            counters: Arc::clone(&self.counters),
            call: request.call.clone(),
            id: self
                .dispatcher
                .router()
                .executors()
                .request_id(slot.grant()),
            deadline,
            late_response_timeout: self.cfg.late_response_timeout,
        };
        let (tx, rx) = oneshot::channel();
        tokio::spawn(exchange.run(slot, tx));
        if let Some(outcome) = await_outcome(self.dispatcher.instant(deadline), rx).await {
            return outcome;
        }
        self.connections.close_idle(&executor);
        lost("no response from the executor before the deadline")
    }

    async fn send_remote(
        &self,
        request: &AdmittedRequest<'_>,
        host: HostName,
        deadline: Millis,
    ) -> DeliveryOutcome {
        increment(&self.counters.forwarded);
        let remaining = Duration::from_millis(deadline.since(self.dispatcher.now()).0);
        let forward = self
            .peers
            .forward(host.clone(), request.call.clone(), remaining);
        let Ok(result) = timeout_at(self.dispatcher.instant(deadline), forward).await else {
            return lost("no reply from the home host before the deadline");
        };
        let failure = match result {
            Ok(ForwardReply::Answered(reply)) => return DeliveryOutcome::Answered(reply),
            Ok(ForwardReply::Lost(failure)) => return DeliveryOutcome::Lost(failure),
            Err(e) if e.may_have_been_sent => return lost(&e.failure.cause),
            Ok(ForwardReply::NotSent(failure)) => failure,
            Err(e) => e.failure,
        };
        self.dispatcher
            .router()
            .remote_loads()
            .mark_full(&host, request.pool);
        DeliveryOutcome::NotSent(failure)
    }
}
