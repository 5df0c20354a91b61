use std::{
    collections::BTreeMap,
    net::SocketAddr,
    path::Path,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use parking_lot::Mutex;
use rand_chacha::{
    ChaCha12Rng,
    rand_core::{Rng, SeedableRng},
};
use tarragon_agreement::Recovered;
use tarragon_codes::{Code, Failure, Outcome};
use tarragon_delivery::{BudgetLimits, HeartbeatCache};
use tarragon_discovery::LeaderHint;
use tarragon_names::{HostName, MemberId, Name, Term};
use tarragon_replica::{Clock, LeaderLease, Links, PeerListener, PeerSink, process_seed};
use tarragon_storage::{Disk, DiskUsage, FileStore};
use tarragon_telemetry::{Event, EventSink, Metrics};
use tarragon_workflow::{Command, WorkerRecord};
use tokio::{net::TcpListener, time::sleep};
use tokio_util::sync::CancellationToken;

use crate::{
    EntryConfig, EntryMetrics, ExternalServices, Hello, Reply, Request, WorkerReport,
    active_replica::{ActiveReplica, ReplicaContext},
    budgeted_calls::BudgetedCalls,
    deliverer::Deliverer,
    formation::open_store,
    group_formation::GroupFormation,
    host_directory::{self, HostDirectory},
    inbound::Inbound,
    link_monitor::LinkMonitor,
    mesh::{self, Mesh},
    order_batch::ResultBatch,
    request::is_large_configuration,
    upkeep_loop::UpkeepLoop,
};

/// Delay between two attempts to open the store on a disk that cannot be written.
const DISK_RETRY_DELAY: Duration = Duration::from_millis(250);

/// Interfaces and metrics that a host is started with, besides its settings.
#[derive(Clone, Debug)]
pub struct EntryParts {
    /// Clock of the host, which also advances while the process is paused.
    pub clock: Arc<dyn Clock>,
    /// Receives all log events of the host.
    pub events: Arc<dyn EventSink>,
    /// Metrics of requests, links and calls to external services.
    pub metrics: EntryMetrics,
    /// Metrics of the host's replica.
    pub replica_metrics: Arc<Metrics>,
    /// Workers, advice service and platform.
    pub external: ExternalServices,
    /// Disk that holds the data folder.
    pub disk: Arc<dyn Disk>,
}

/// An entry host, which answers requests while it leads and forwards them to the leader otherwise.
#[derive(Debug)]
pub struct EntryHost {
    pub(crate) cfg: EntryConfig,
    pub(crate) mesh: Arc<Mesh>,
    pub(crate) leader_hint: Arc<LeaderHint>,
    pub(crate) directory: HostDirectory,
    pub(crate) events: Arc<dyn EventSink>,
    seeds: Mutex<Vec<SocketAddr>>,
    external: ExternalServices,
    pub(crate) metrics: EntryMetrics,
    pub(crate) replica: Option<ActiveReplica>,
    pub(crate) deliverer: Arc<Deliverer>,
    heartbeats: Mutex<HeartbeatCache<WorkerRecord>>,
    clock: Arc<dyn Clock>,
    pub(crate) formation: GroupFormation,
    is_stopping: AtomicBool,
    stop: CancellationToken,
}

impl EntryHost {
    /// Starts the host on the current Tokio runtime.
    pub async fn start(cfg: EntryConfig, mut parts: EntryParts) -> Outcome<Arc<Self>> {
        let limits = BudgetLimits::from_descriptors(cfg.max_descriptors);
        let workers = Arc::clone(&parts.external.workers);
        let workers = BudgetedCalls::new(workers, limits, parts.metrics.clone());
        parts.external.workers = Arc::new(workers);
        let mut rng = ChaCha12Rng::from_seed(process_seed());
        let clock = Arc::clone(&parts.clock);
        let stop = CancellationToken::new();
        let link_monitor = Arc::new(LinkMonitor::new(&parts.metrics));
        let timing = cfg.timing.link_timing();
        let observer = Arc::clone(&link_monitor) as _;
        let links = Links::new(cfg.host.clone(), timing, observer, stop.clone());
        let links = Arc::new(links);
        let mesh = Arc::new(Mesh::new(
            Arc::clone(&links),
            Arc::clone(&link_monitor),
            rng.next_u64(),
        ));
        let leader_hint = Arc::new(LeaderHint::default());
        let replica = match &cfg.data_dir {
            None => None,
            Some(dir) => {
                let new_id = MemberId(rng.next_u64() | 1);
                let (store, recovered) = open_when_writable(&cfg, dir, new_id, &parts).await?;
                let context = ReplicaContext {
                    cfg: &cfg,
                    parts: &parts,
                    clock: &clock,
                    mesh: &mesh,
                    leader_hint: &leader_hint,
                    stop: &stop,
                };
                Some(context.start_replica(store, recovered, rng.next_u64())?)
            }
        };
        let listener = TcpListener::bind(cfg.peer_address).await.map_err(|e| {
            let cause = format!(
                "cannot listen on the peer address {}: {e}",
                cfg.peer_address
            );
            Failure::new(Code::BadSettings, cause)
        })?;
        let deliverer = Deliverer::new(
            Arc::clone(&parts.external.workers),
            Arc::clone(&mesh),
            parts.metrics.clone(),
            Arc::clone(&parts.events),
        );
        let host = Arc::new(Self {
            deliverer: Arc::new(deliverer),
            heartbeats: Mutex::new(HeartbeatCache::new(cfg.timing.heartbeat_refresh())),
            clock,
            seeds: Mutex::new(cfg.seeds.clone()),
            mesh,
            leader_hint,
            directory: HostDirectory::default(),
            events: parts.events,
            external: parts.external,
            metrics: parts.metrics,
            replica,
            formation: GroupFormation::default(),
            is_stopping: AtomicBool::new(false),
            stop: stop.clone(),
            cfg,
        });
        let sink: Arc<dyn PeerSink> = Arc::new(Inbound(Arc::clone(&host)));
        let listener = PeerListener::new(listener, host.cfg.host.clone(), timing, link_monitor)
            .with_state_limits(host.cfg.state_limits);
        tokio::spawn(listener.run(sink, stop.clone()));
        tokio::spawn(host_directory::announce(Arc::clone(&host), stop.clone()));
        if let Some(active) = &host.replica {
            let voter_manager = Arc::clone(&active.leader_service.voter_manager);
            let leader = Arc::clone(&host);
            tokio::spawn(voter_manager.run(move || leader.is_leader(), stop.clone()));
            let upkeep = UpkeepLoop {
                workflow_state: Arc::clone(&active.leader_service.workflow_state),
                dispatch: active.leader_service.dispatch.clone(),
                clock: Arc::clone(&active.leader_service.clock),
                events: Arc::clone(&host.events),
                machines: Arc::clone(&host.external.machines),
                available_tasks: Arc::clone(&active.available_tasks),
                down_time: host.cfg.timing.bounds.machine_down_time,
                recently_ordered: BTreeMap::new(),
                leader_since: None,
            };
            tokio::spawn(upkeep.run(Arc::clone(&host), stop));
        }
        Ok(host)
    }

    /// Answers a request of a caller, an operator or a worker within `timeout`.
    ///
    /// Repeating a request has no second effect, so a request whose answer is missing is sent to
    /// the next leader. The code `NoLeader` means that the request was not run; after
    /// `NotConfirmed` its effect is unknown.
    pub async fn call(&self, request: Request, timeout: Duration) -> Outcome<Reply> {
        let (kind, job) = (request.kind(), request.job());
        let started_at = Instant::now();
        let timer = self
            .metrics
            .request_time
            .with_label_values(&[kind])
            .start_timer();
        let outcome = match request {
            Request::Announce(report) => self.announce(report, timeout).await,
            request => self.call_leader(request, timeout).await,
        };
        drop(timer);
        if let (Err(failure), Some(job)) = (&outcome, job) {
            self.explain_failure(kind, job, failure, started_at.elapsed());
        }
        let code = outcome.as_ref().err().map_or(0, |f| f.code.number());
        self.metrics
            .requests
            .with_label_values(&[kind, &code.to_string()])
            .inc();
        outcome
    }

    /// Logs why a caller got no result.
    fn explain_failure(&self, kind: &str, job: Name, failure: &Failure, waited: Duration) {
        let (term, leader) = self.known_leader().unzip();
        let silence = self.directory.silence().map(|silence| silence.as_millis());
        let detail = format!(
            "{kind}: {}; answered after {} ms, retry after {:?} ms, leader {leader:?} of {term:?}, \
             which answered {silence:?} ms ago",
            failure.cause,
            waited.as_millis(),
            failure.retry_after_ms,
        );
        let event = Event::info("request_failed").request(job);
        self.events
            .emit(&event.code(failure.code.number()).detail(detail));
    }

    /// Records the heartbeat of a worker, which goes on to send its heartbeats to this host.
    ///
    /// The leader need not see a heartbeat that repeats what it has recorded recently. A host that has
    /// lost touch with the leader passes all of them on, so that the worker turns to another host.
    async fn announce(&self, report: WorkerReport, timeout: Duration) -> Outcome<Reply> {
        let worker = report.record.incarnation.worker.clone();
        let is_recorded = self.term_in_touch().is_some_and(|term| {
            let heartbeats = self.heartbeats.lock();
            heartbeats.is_recorded(&worker, &report.record, term, self.clock.now())
        });
        if !is_recorded || report.leaves_in.is_some() {
            self.heartbeats.lock().remove(&worker);
            let record = report.record.clone();
            self.call_leader(Request::Announce(report), timeout).await?;
            if let Some(term) = self.term_in_touch() {
                let now = self.clock.now();
                self.heartbeats.lock().insert(worker, record, term, now);
            }
        }
        Ok(Reply::Announced {
            heartbeat_address: self.cfg.heartbeat_address.clone(),
        })
    }

    /// Term of the leader if it answered this host recently.
    fn term_in_touch(&self) -> Option<Term> {
        let is_in_touch = self.is_in_touch();
        self.known_leader()
            .filter(|_| is_in_touch)
            .map(|(term, _)| term)
    }

    /// Returns whether a leader answered this host recently.
    pub(crate) fn is_in_touch(&self) -> bool {
        let silence = self.directory.silence();
        silence.is_some_and(|silence| silence < self.cfg.timing.leader_silence_limit())
    }

    /// Answers a call of another host. A large configuration stays here: the other host's link may be
    /// slow, so its caller is sent to this host.
    pub(crate) async fn answer_call(&self, request: Request) -> Outcome<Reply> {
        match self.answer_here(request).await? {
            Reply::Configuration(text) if is_large_configuration(&text) => {
                Ok(Reply::Redirect(self.cfg.heartbeat_address.clone()))
            }
            reply => Ok(reply),
        }
    }

    /// Answers a request on this host, or returns [`Reply::NotLeader`] if this host does not lead.
    pub(crate) async fn answer_here(&self, request: Request) -> Outcome<Reply> {
        if let Request::Advise(call) = request {
            let timeout = Duration::from_millis(call.timeout.0);
            let answer = self
                .external
                .advice
                .request_advice(call.step, call.workers, timeout);
            return Ok(Reply::Advice(answer.await));
        }
        if let Request::FormGroup { host } = &request {
            return Ok(self.answer_formation(host));
        }
        if let Request::Hello(hello) = &request {
            self.directory.add_announced_host(hello);
        }
        match &self.replica {
            Some(active) => active.leader_service.answer(request).await,
            None => Ok(Reply::NotLeader {
                leader: self.known_leader(),
            }),
        }
    }

    /// Returns whether the leader answered recently and the host is not stopping.
    ///
    /// Also updates the metric that reports readiness.
    pub fn is_ready(&self) -> bool {
        let is_ready = self.is_in_touch() && !self.is_stopping.load(Ordering::Acquire);
        self.metrics.ready.set(i64::from(is_ready));
        is_ready
    }

    /// Replaces the seeds after the settings have changed.
    pub fn set_seeds(&self, seeds: Vec<SocketAddr>) {
        *self.seeds.lock() = seeds;
    }

    pub(crate) fn seeds(&self) -> Vec<HostName> {
        let seeds = self.seeds.lock();
        seeds
            .iter()
            .map(|s| HostName::from(s.to_string()))
            .collect()
    }

    pub(crate) fn hello(&self) -> Hello {
        Hello {
            host: self.cfg.host.clone(),
            domain: self.cfg.domain.clone(),
            member: self.member(),
            capacity: self.cfg.capacity,
            is_stopping: self.is_stopping.load(Ordering::Acquire),
        }
    }

    /// Returns the identity of the host's replica; `None` on a host without a disk.
    pub fn member(&self) -> Option<MemberId> {
        self.replica.as_ref().map(|active| active.id)
    }

    /// Returns the identities of the voters; `None` if this host does not lead.
    pub fn voters_if_leading(&self) -> Option<Vec<MemberId>> {
        let active = self.replica.as_ref().filter(|_| self.is_leader())?;
        Some(active.leader_service.voter_manager.voters())
    }

    pub(crate) fn name(&self) -> &HostName {
        &self.cfg.host
    }

    /// Returns the lease of this host as the leader; `None` if another host may lead.
    pub(crate) fn lease(&self) -> Option<LeaderLease> {
        self.replica.as_ref()?.leader_service.lease()
    }

    /// Returns the leader and its term, as far as this host knows.
    ///
    /// The hint may be missing or out of date on the leader itself: its own announcement is refused
    /// while its lease has lapsed, and clears the hint.
    pub(crate) fn known_leader(&self) -> Option<(Term, HostName)> {
        match self.lease() {
            Some(lease) => Some((lease.term(), self.cfg.host.clone())),
            None => self.leader_hint.with_term(),
        }
    }

    /// Proposes a command and returns whether it is committed; a failure is logged.
    ///
    /// A command that is not committed in time may still be committed later.
    pub(crate) async fn record(&self, command: Command) -> bool {
        let Some(active) = &self.replica else {
            return false;
        };
        let recorded = active.leader_service.propose(command).await;
        if let Err(failure) = &recorded {
            let event = Event::warning("not_recorded").code(failure.code.number());
            self.events.emit(&event.detail(failure.cause.clone()));
        }
        recorded.is_ok()
    }

    /// Passes the results that a delivering host reports on to the dispatcher.
    pub(crate) fn receive_results(&self, host: &HostName, body: &[u8]) {
        let Some(active) = &self.replica else { return };
        match mesh::decode::<ResultBatch>(body) {
            Ok(batch) => {
                let dispatch = &active.leader_service.dispatch;
                dispatch.send_results(host.clone(), batch.results);
            }
            Err(failure) => {
                let event = Event::warning("results_unreadable").peer(host.clone());
                let event = event.code(failure.code.number());
                self.events.emit(&event.detail(failure.cause));
            }
        }
    }

    fn is_leader(&self) -> bool {
        self.lease().is_some()
    }

    /// Begins a planned stop: the host is no longer ready and transfers the leadership.
    pub fn begin_stop(&self) {
        self.is_stopping.store(true, Ordering::Release);
        self.events.emit(&Event::info("stopping"));
        if let Some(active) = &self.replica {
            active.handle.transfer_leadership();
        }
    }

    /// Stops the tasks and threads of the host. Nothing is flushed, since every write that was
    /// answered is already on disk.
    pub fn stop(&self) {
        self.stop.cancel();
        if let Some(active) = &self.replica {
            active.handle.stop();
            for thread in active.threads.lock().drain(..) {
                // The result is always `Ok`, since a panic in the thread aborts the process.
                let _ended = thread.join();
            }
        }
        self.events.emit(&Event::info("stopped"));
    }
}

/// Opens the store of the host, and repeats the attempt while the disk cannot be written.
///
/// The process does not exit, since a restart would find the same disk.
async fn open_when_writable(
    cfg: &EntryConfig,
    dir: &Path,
    new_id: MemberId,
    parts: &EntryParts,
) -> Outcome<(FileStore, Recovered)> {
    let (disk, events) = (parts.disk.as_ref(), parts.events.as_ref());
    let mut is_reported = false;
    loop {
        match open_store(cfg, dir, new_id, disk, events) {
            Err(failure) if failure.code.is_refused_write() => {
                if !is_reported {
                    let event = Event::error("disk_lost").code(failure.code.number());
                    let detail = format!("{}; data folder: {}", failure.cause, DiskUsage::of(dir));
                    events.emit(&event.detail(detail));
                }
                is_reported = true;
                sleep(DISK_RETRY_DELAY).await;
            }
            result => {
                if is_reported {
                    events.emit(&Event::info("disk_regained"));
                }
                return result;
            }
        }
    }
}
