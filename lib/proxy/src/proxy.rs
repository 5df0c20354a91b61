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
    EntrySource, ForwardReply, KeyLog, Peers, ProxyConfig, ProxyStats,
    connections::Connections,
    counters::{Counters, count},
    delivery::Delivery,
    dispatch::{Assigned, Dispatch},
    exchange::{Exchange, lost, within},
    slot::Slot,
};

/// Choices made for one request whose sends all failed before a byte had left.
const CHOICES_MAX: u32 = 4;

/// Average runs that must fit into half of the time for the other half to be kept for another send.
const RUNS_IN_HALF: u64 = 3;

/// Time between two sweeps over idle connections, silent executors and waiting requests.
const TICK: Duration = Duration::from_millis(100);

/// Longest time limit of a service request, whatever its entry says.
const TIMEOUT_MAX_MS: u64 = 30_000;

/// Path of service requests through one entry host.
#[derive(Debug)]
pub struct Proxy {
    pub(crate) cfg: ProxyConfig,
    pub(crate) dispatch: Arc<Dispatch>,
    pub(crate) counters: Arc<Counters>,
    pub(crate) keys: Arc<dyn KeyLog>,
    pub(crate) tracker: TaskTracker,
    connections: Arc<Connections>,
    entries: Arc<dyn EntrySource>,
    peers: Arc<dyn Peers>,
    stopping: AtomicBool,
    requests: AtomicU64,
}

/// A request with what the catalogue says of it.
pub(crate) struct Job<'a> {
    pub(crate) call: &'a ServiceCall,
    pub(crate) entry: &'a CatalogueEntry,
    pub(crate) pool: &'a PoolName,
    pub(crate) deadline: Millis,
}

impl Proxy {
    /// A request path that knows no executor yet. [`Proxy::run`] has to run beside it.
    pub fn new(
        cfg: ProxyConfig,
        entries: Arc<dyn EntrySource>,
        peers: Arc<dyn Peers>,
        keys: Arc<dyn KeyLog>,
    ) -> Self {
        let counters = Arc::<Counters>::default();
        // Readings stay far from the limits of the number, so that adding times cannot overflow.
        let clock_offset = cfg.boot >> 8;
        Self {
            dispatch: Arc::new(Dispatch::new(
                cfg.routing,
                clock_offset,
                RequestIds::new(&cfg.host, cfg.boot),
            )),
            connections: Arc::new(Connections::new(
                cfg.idle,
                cfg.connect_timeout,
                Arc::clone(&counters),
            )),
            cfg,
            counters,
            keys,
            tracker: TaskTracker::new(),
            entries,
            peers,
            stopping: AtomicBool::new(false),
            requests: AtomicU64::new(0),
        }
    }

    /// Closes idle connections and looks after waiting requests until `shutdown`.
    pub async fn run(&self, shutdown: CancellationToken) {
        let mut tick = interval(TICK);
        loop {
            tokio::select! {
                _ = tick.tick() => {}
                () = shutdown.cancelled() => return,
            }
            self.connections.sweep();
            self.dispatch
                .router()
                .executors()
                .sweep(self.dispatch.now());
            self.dispatch.pump_all();
        }
    }

    /// Runs a service request of a caller.
    pub async fn serve(&self, call: ServiceCall) -> Outcome<ServiceReply> {
        count(&self.counters.requests);
        let outcome = self.serve_counted(call).await;
        count(match &outcome {
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

    /// Runs a request that another host forwarded, on an executor of this host or not at all.
    pub async fn serve_forwarded(&self, call: ServiceCall, limit: Duration) -> ForwardReply {
        count(&self.counters.served_for_others);
        let _in_flight = self.tracker.token();
        if self.stopping.load(Ordering::Relaxed) {
            return ForwardReply::NotSent(Failure::of(Code::Stopping));
        }
        let deadline = self.dispatch.now() + Millis(limit.as_millis() as u64);
        let (entry, pool) = match self.admit(&call) {
            Ok(admitted) => admitted,
            Err(failure) => return ForwardReply::NotSent(failure),
        };
        let job = Job {
            call: &call,
            entry: &entry,
            pool: &pool,
            deadline,
        };
        let mut choices = 0;
        loop {
            let slot = match self.dispatch.acquire_own(&pool) {
                Ok(slot) => slot,
                Err(failure) => return ForwardReply::NotSent(failure),
            };
            choices += 1;
            match self.send_local(&job, slot, deadline).await {
                Delivery::Answer(reply) => return ForwardReply::Answered(reply),
                Delivery::Lost(failure) => return ForwardReply::Lost(failure),
                Delivery::NotSent(failure) if choices >= CHOICES_MAX => {
                    return ForwardReply::NotSent(failure);
                }
                Delivery::NotSent(_) => {}
            }
        }
    }

    /// Takes an announcement of an executor.
    pub fn announce(&self, announcement: Announcement) -> Outcome<AnnouncementReply> {
        let pool = announcement.pool.clone();
        let now = self.dispatch.now();
        let reply = self
            .dispatch
            .router()
            .executors()
            .announce(announcement, now)?;
        self.dispatch.pump(&pool);
        Ok(reply)
    }

    /// Takes a load summary of another host.
    pub fn update_load(&self, summary: LoadSummary) {
        let pools = summary
            .pools
            .iter()
            .map(|load| load.pool.clone())
            .collect::<Vec<_>>();
        let now = self.dispatch.now();
        self.dispatch.router().loads().update(summary, now);
        for pool in pools {
            self.dispatch.pump(&pool);
        }
    }

    /// The load summary for the other hosts; a host that stops shows none.
    pub fn load(&self) -> LoadSummary {
        let mut load = self
            .dispatch
            .router()
            .summary(&self.cfg.host, self.dispatch.now());
        if self.stopping.load(Ordering::Relaxed) {
            load.pools.clear();
        }
        load
    }

    /// Marks an executor as draining, or takes it back; false if this host is not its home.
    pub fn drain_executor(&self, name: &ExecutorName, draining: bool) -> bool {
        self.dispatch
            .router()
            .executors()
            .set_draining(name, draining)
    }

    /// The executors that this host is home to.
    pub fn executors(&self) -> Vec<ExecutorView> {
        self.dispatch
            .router()
            .executors()
            .views(&self.cfg.host, self.dispatch.now())
    }

    /// Counters at this moment.
    pub fn stats(&self) -> ProxyStats {
        self.counters.snapshot()
    }

    /// Requests that wait for a slot.
    pub fn waiting(&self) -> usize {
        self.dispatch.waiting_total()
    }

    /// First step of a planned stop: executors are told to find another home.
    pub fn move_executors(&self) {
        self.dispatch.router().executors().set_moving(true);
    }

    /// Second step of a planned stop: new requests are refused, and those in flight have `limit` to
    /// end. True if all of them ended.
    pub async fn drain(&self, limit: Duration) -> bool {
        self.move_executors();
        self.stopping.store(true, Ordering::Relaxed);
        self.tracker.close();
        timeout(limit, self.tracker.wait()).await.is_ok()
    }

    /// Sends a request until it is answered or must not be sent again.
    pub(crate) async fn deliver(&self, job: &Job<'_>) -> Delivery {
        let limits = &job.entry.limits;
        let most = if job.entry.repeatable && self.cfg.retries {
            limits.max_sends.max(1)
        } else {
            1
        };
        let mut sends = 0;
        let mut choices = 0;
        let mut last = None::<Failure>;
        loop {
            let assigned = match self
                .dispatch
                .acquire(job.entry, job.pool, job.deadline)
                .await
            {
                Ok(assigned) => assigned,
                Err(failure) => return last.map_or(Delivery::NotSent(failure), Delivery::Lost),
            };
            let again = sends + 1 < most;
            let sent = self.send(job, assigned, self.limit(job, again)).await;
            match sent {
                Delivery::Answer(reply) => {
                    self.dispatch.succeeded(job.pool);
                    return Delivery::Answer(reply);
                }
                Delivery::NotSent(failure) => {
                    choices += 1;
                    if choices >= CHOICES_MAX {
                        return last.map_or(Delivery::NotSent(failure), Delivery::Lost);
                    }
                }
                Delivery::Lost(failure) => {
                    sends += 1;
                    if !again {
                        return Delivery::Lost(failure);
                    }
                    if !self.dispatch.take_retry(job.pool) {
                        count(&self.counters.retries_refused);
                        return Delivery::Lost(failure);
                    }
                    count(&self.counters.retries);
                    last = Some(failure);
                }
            }
        }
    }

    /// Number that no other request of this process has.
    pub(crate) fn next_request(&self) -> u64 {
        self.requests.fetch_add(1, Ordering::Relaxed) + 1
    }

    async fn serve_counted(&self, call: ServiceCall) -> Outcome<ServiceReply> {
        let arrived = self.dispatch.now();
        let _in_flight = self.tracker.token();
        if self.stopping.load(Ordering::Relaxed) {
            return Err(Failure::of(Code::Stopping));
        }
        let (entry, pool) = self.admit(&call)?;
        let longest = entry.limits.request_timeout_ms;
        let timeout_ms = call
            .timeout_ms
            .map_or(longest, |ms| ms.min(longest))
            .clamp(1, TIMEOUT_MAX_MS);
        let job = Job {
            call: &call,
            entry: &entry,
            pool: &pool,
            deadline: arrived + Millis(timeout_ms),
        };
        if let Some(key) = call.key.clone() {
            return self.serve_keyed(&job, key, timeout_ms).await;
        }
        match self.deliver(&job).await {
            Delivery::Answer(reply) => Ok(reply),
            Delivery::NotSent(failure) | Delivery::Lost(failure) => Err(failure),
        }
    }

    /// Looks the request up in the catalogue.
    fn admit(&self, call: &ServiceCall) -> Outcome<(Arc<CatalogueEntry>, PoolName)> {
        let entry = self.entries.resolve(&call.name)?;
        match &entry.pool {
            Some(pool) if entry.workloads.contains(&Workload::Request) => {
                let pool = pool.clone();
                Ok((entry, pool))
            }
            _ => Err(Failure::new(
                Code::KindNotAllowed,
                format!("entry {} takes no service requests", entry.pattern),
            )),
        }
    }

    /// Time limit of one send. While another send is possible, half of the time is kept for it, so
    /// that a connection gone silent does not use up all of it. If the half is short for a run, the
    /// send gets all of the time: two sends that are both cut off would only waste their slots.
    fn limit(&self, job: &Job<'_>, again: bool) -> Millis {
        let now = self.dispatch.now();
        let half = Millis(job.deadline.since(now).0 / 2);
        let enough = self.dispatch.run_time(job.pool).0 * RUNS_IN_HALF;
        if again && half.0 > enough {
            now + half
        } else {
            job.deadline
        }
    }

    async fn send(&self, job: &Job<'_>, assigned: Assigned, limit: Millis) -> Delivery {
        match assigned {
            Assigned::Local(slot) => self.send_local(job, slot, limit).await,
            Assigned::Remote(host) => self.send_remote(job, host, limit).await,
        }
    }

    async fn send_local(&self, job: &Job<'_>, slot: Slot, limit: Millis) -> Delivery {
        let executor = slot.grant().executor.clone();
        let exchange = Exchange {
            dispatch: Arc::clone(&self.dispatch),
            connections: Arc::clone(&self.connections),
            counters: Arc::clone(&self.counters),
            call: job.call.clone(),
            id: self.dispatch.router().executors().request_id(slot.grant()),
            deadline: limit,
            late_max: self.cfg.late_max,
        };
        let (tx, rx) = oneshot::channel();
        tokio::spawn(exchange.run(slot, tx));
        if let Some(sent) = within(self.dispatch.instant(limit), rx).await {
            return sent;
        }
        self.connections.suspect(&executor);
        lost("no answer in time")
    }

    async fn send_remote(&self, job: &Job<'_>, host: HostName, limit: Millis) -> Delivery {
        count(&self.counters.forwarded);
        let left = Duration::from_millis(limit.since(self.dispatch.now()).0);
        let forward = self.peers.forward(host.clone(), job.call.clone(), left);
        let Ok(replied) = timeout_at(self.dispatch.instant(limit), forward).await else {
            return lost("no answer from the home host in time");
        };
        let failure = match replied {
            Ok(ForwardReply::Answered(reply)) => return Delivery::Answer(reply),
            Ok(ForwardReply::Lost(failure)) => return Delivery::Lost(failure),
            Err(e) if e.sent => return lost(&e.failure.cause),
            Ok(ForwardReply::NotSent(failure)) => failure,
            Err(e) => e.failure,
        };
        self.dispatch.router().loads().exhausted(&host, job.pool);
        Delivery::NotSent(failure)
    }
}
