use std::{
    collections::BTreeMap,
    net::SocketAddr,
    path::Path,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
        mpsc::channel,
    },
    thread::JoinHandle,
    time::{Duration, Instant},
};

use parking_lot::Mutex;
use rand_chacha::{
    ChaCha12Rng,
    rand_core::{Rng, SeedableRng},
};
use tarragon_agreement::{Recovered, Replica};
use tarragon_codes::{Code, Failure, Outcome};
use tarragon_dispatch::Dispatcher;
use tarragon_names::{HostName, LogIndex, MemberId, Name};
use tarragon_replica::{
    Clock, LeaderHint, Links, PeerListener, PeerSink, ReplicaDriver, ReplicaHandle, ReplicaParts,
    StateMachine, SystemClock, process_seed,
};
use tarragon_storage::FileStore;
use tarragon_telemetry::{Event, EventSink, Metrics};
use tarragon_wire::peer::PeerEvent;
use tarragon_workflow::{Command, WaveKey, WorkflowState};
use tokio::{net::TcpListener, runtime::Handle, time::sleep};
use tokio_util::sync::CancellationToken;

use crate::{
    EntryConfig, EntryMetrics, ExternalServices, Hello, Reply, Request, WorkflowLog,
    at_work::AtWork,
    dispatch_handle::DispatchHandle,
    dispatch_loop::{DispatchLoop, DispatchParts},
    dispatch_sink::DispatchSink,
    formation::open_store,
    heartbeats::Heartbeats,
    leader_desk::LeaderDesk,
    mesh::{self, Mesh},
    mesh_meter::MeshMeter,
    presence::{self, Presence},
    upkeep_loop::UpkeepLoop,
    voters::Voters,
};

/// Pause between two tries to reach the leader.
const TRY_PAUSE: Duration = Duration::from_millis(40);

/// Time to come back that a refused caller is told, in milliseconds.
const RETRY_MS: u64 = 400;

/// Pause between two tries to open a disk that takes no bytes.
const DISK_PAUSE: Duration = Duration::from_millis(250);

/// What a host is started with besides its settings.
#[derive(Clone, Debug)]
pub struct EntryParts {
    /// Where events go.
    pub events: Arc<dyn EventSink>,
    /// Metrics of the host.
    pub metrics: EntryMetrics,
    /// Metrics of its replica.
    pub replica_metrics: Arc<Metrics>,
    /// Workers and advice.
    pub external: ExternalServices,
}

/// The replica of a host and what depends on it.
#[derive(Debug)]
struct Seated {
    id: MemberId,
    handle: ReplicaHandle<WorkflowLog>,
    desk: LeaderDesk,
    at_work: Arc<AtWork>,
    threads: Mutex<Vec<JoinHandle<()>>>,
}

/// An entry host: answers requests itself while it leads and passes them on otherwise.
#[derive(Debug)]
pub struct EntryHost {
    pub(crate) cfg: EntryConfig,
    pub(crate) mesh: Arc<Mesh>,
    pub(crate) hint: Arc<LeaderHint>,
    pub(crate) presence: Presence,
    pub(crate) events: Arc<dyn EventSink>,
    seeds: Mutex<Vec<SocketAddr>>,
    external: ExternalServices,
    metrics: EntryMetrics,
    replica: Option<Seated>,
    stopping: AtomicBool,
    stop: CancellationToken,
}

impl EntryHost {
    /// Starts the host on the current runtime.
    pub async fn start(cfg: EntryConfig, parts: EntryParts) -> Outcome<Arc<Self>> {
        let mut rng = ChaCha12Rng::from_seed(process_seed());
        let clock: Arc<dyn Clock> = Arc::new(SystemClock::start());
        let stop = CancellationToken::new();
        let meter = Arc::new(MeshMeter::new(&parts.metrics));
        let timing = cfg.timing.link_timing();
        let observer = Arc::clone(&meter) as _;
        let links = Links::new(cfg.host.clone(), timing, observer, stop.clone());
        let links = Arc::new(links);
        let mesh = Arc::new(Mesh::new(
            Arc::clone(&links),
            Arc::clone(&meter),
            rng.next_u64(),
        ));
        let hint = Arc::new(LeaderHint::default());
        let replica = match &cfg.data_dir {
            None => None,
            Some(dir) => {
                let fresh = MemberId(rng.next_u64() | 1);
                let (store, recovered) = open_when_writable(&cfg, dir, fresh, &parts).await?;
                let surroundings = Surroundings {
                    cfg: &cfg,
                    parts: &parts,
                    clock: &clock,
                    mesh: &mesh,
                    hint: &hint,
                    stop: &stop,
                };
                Some(surroundings.seat(store, recovered, rng.next_u64())?)
            }
        };
        let listener = TcpListener::bind(cfg.peer_address).await.map_err(|e| {
            let cause = format!(
                "cannot listen on the peer address {}: {e}",
                cfg.peer_address
            );
            Failure::new(Code::BadSettings, cause)
        })?;
        let host = Arc::new(Self {
            seeds: Mutex::new(cfg.seeds.clone()),
            mesh,
            hint,
            presence: Presence::default(),
            events: parts.events,
            external: parts.external,
            metrics: parts.metrics,
            replica,
            stopping: AtomicBool::new(false),
            stop: stop.clone(),
            cfg,
        });
        let sink: Arc<dyn PeerSink> = Arc::new(Inbound(Arc::clone(&host)));
        let listener = PeerListener::new(listener, host.cfg.host.clone(), timing, meter);
        tokio::spawn(listener.run(sink, stop.clone()));
        tokio::spawn(presence::announce(Arc::clone(&host), stop.clone()));
        if let Some(seated) = &host.replica {
            let voters = Arc::clone(&seated.desk.voters);
            let leads = Arc::clone(&host);
            tokio::spawn(voters.keep(move || leads.leads(), stop.clone()));
            let upkeep = UpkeepLoop {
                flow: Arc::clone(&seated.desk.flow),
                dispatch: seated.desk.dispatch.clone(),
                clock: Arc::clone(&seated.desk.clock),
                events: Arc::clone(&host.events),
                machines: Arc::clone(&host.external.machines),
                at_work: Arc::clone(&seated.at_work),
                down_time: host.cfg.timing.bounds.machine_down_time,
                ordered: BTreeMap::new(),
                led_since: None,
            };
            tokio::spawn(upkeep.run(Arc::clone(&host), stop));
        }
        Ok(host)
    }

    /// Answers a request of a caller, an operator or a worker within `limit`.
    ///
    /// Every request may be repeated without a second effect, so it is sent to the next leader
    /// where the answer of one is missing. A refusal says that it was not sent to any.
    pub async fn call(&self, request: Request, limit: Duration) -> Outcome<Reply> {
        let kind = kind_of(&request);
        let timer = self
            .metrics
            .request_time
            .with_label_values(&[kind])
            .start_timer();
        let outcome = self.call_leader(request, limit).await;
        drop(timer);
        let code = outcome.as_ref().err().map_or(0, |f| f.code.number());
        self.metrics
            .requests
            .with_label_values(&[kind, &code.to_string()])
            .inc();
        outcome
    }

    async fn call_leader(&self, request: Request, limit: Duration) -> Outcome<Reply> {
        let begun = Instant::now();
        let timing = &self.cfg.timing;
        let mut is_unknown = false;
        loop {
            let left = limit.saturating_sub(begun.elapsed());
            let reply = match self.hint.get() {
                None => Err(Failure::of(Code::NoLeader)),
                Some(leader) if leader == self.cfg.host => self.answer_here(request.clone()).await,
                Some(leader) => {
                    let limit = left.min(timing.call_attempt_timeout());
                    let reply = self.mesh.call(&leader, &request, limit).await;
                    if reply.as_ref().is_err_and(|f| is_unreached(f.code)) {
                        self.hint.forget(&leader);
                    }
                    if let Ok(Reply::NotLeader { leader: next }) = &reply {
                        self.hint.forget(&leader);
                        if let Some((term, next)) = next {
                            self.hint.set(*term, next);
                        }
                    }
                    reply
                }
            };
            let code = match reply {
                Ok(Reply::NotLeader { .. }) => Code::NotLeader,
                Err(failure) if is_unreached(failure.code) => failure.code,
                reply => return reply,
            };
            is_unknown |= code == Code::NotConfirmed;
            let waited = begun.elapsed();
            let may_wait = if is_unknown {
                limit
            } else {
                timing.max_leader_wait().min(limit)
            };
            if waited + TRY_PAUSE >= may_wait {
                let code = if is_unknown {
                    Code::NotConfirmed
                } else {
                    Code::NoLeader
                };
                return Err(Failure::of(code).retry_after(RETRY_MS));
            }
            sleep(TRY_PAUSE).await;
        }
    }

    /// Answers a request as the leader, or says that this host does not lead.
    pub(crate) async fn answer_here(&self, request: Request) -> Outcome<Reply> {
        if let Request::Advise(call) = request {
            let limit = Duration::from_millis(call.timeout.0);
            let asked = self
                .external
                .advice
                .request_advice(call.step, call.workers, limit);
            return Ok(Reply::Advice(asked.await));
        }
        if let Request::Hello(hello) = &request {
            self.presence.called_by(&hello.host);
        }
        match &self.replica {
            Some(seated) => seated.desk.answer(request).await,
            None => Ok(Reply::NotLeader {
                leader: self.hint.with_term(),
            }),
        }
    }

    /// Tells whether the host can answer callers.
    pub fn is_ready(&self) -> bool {
        let answers = self
            .presence
            .silence()
            .is_some_and(|silence| silence < self.cfg.timing.leader_silence_limit());
        let is_ready = answers && !self.stopping.load(Ordering::Acquire);
        self.metrics.ready.set(i64::from(is_ready));
        is_ready
    }

    /// Replaces the seeds after a change of the settings.
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
            is_stopping: self.stopping.load(Ordering::Acquire),
        }
    }

    /// Identity of the host's replica, if it has one.
    pub fn member(&self) -> Option<MemberId> {
        self.replica.as_ref().map(|seated| seated.id)
    }

    /// Identities of the voters, if this host leads.
    pub fn voters_if_leading(&self) -> Option<Vec<MemberId>> {
        let seated = self.replica.as_ref().filter(|_| self.leads())?;
        Some(seated.desk.voters.present())
    }

    pub(crate) fn own(&self) -> &HostName {
        &self.cfg.host
    }

    /// Term of this host, if it leads.
    pub(crate) fn leading_term(&self) -> Option<u64> {
        let (term, leader) = self.hint.with_term()?;
        (self.leads() && leader == self.cfg.host).then_some(term.0)
    }

    /// Records a change of the state, if this host leads.
    pub(crate) async fn record(&self, command: Command) {
        let Some(seated) = &self.replica else { return };
        if let Err(failure) = seated.desk.propose(command).await {
            let event = Event::warning("not_recorded").code(failure.code.number());
            self.events.emit(&event.detail(failure.cause));
        }
    }

    /// Records that the upkeep of a machine has begun or is not needed.
    pub(crate) async fn record_upkeep(&self, key: WaveKey, machine: Name) {
        self.record(Command::MachineDone { key, machine }).await;
    }

    fn leads(&self) -> bool {
        self.replica
            .as_ref()
            .is_some_and(|seated| seated.desk.leads())
    }

    /// Begins a planned stop: the host is not ready any more and hands over the leadership.
    pub fn begin_stop(&self) {
        self.stopping.store(true, Ordering::Release);
        self.events.emit(&Event::info("stopping"));
        if let Some(seated) = &self.replica {
            seated.handle.transfer();
        }
    }

    /// Ends the host's threads; everything that was answered is on disk already.
    pub fn stop(&self) {
        self.stop.cancel();
        if let Some(seated) = &self.replica {
            seated.handle.stop();
            for thread in seated.threads.lock().drain(..) {
                // A thread that panicked has ended the process.
                let _ended = thread.join();
            }
        }
        self.events.emit(&Event::info("stopped"));
    }
}

/// Opens the store of the host; while the disk takes no bytes, it waits instead of ending the
/// process, since a restart finds the same disk.
async fn open_when_writable(
    cfg: &EntryConfig,
    dir: &Path,
    fresh: MemberId,
    parts: &EntryParts,
) -> Outcome<(FileStore, Recovered)> {
    let mut was_told = false;
    loop {
        match open_store(cfg, dir, fresh, parts.events.as_ref()) {
            Err(failure) if failure.code == Code::DiskFull => {
                if !was_told {
                    let event = Event::error("disk_lost").code(failure.code.number());
                    parts.events.emit(&event.detail(failure.cause));
                }
                was_told = true;
                sleep(DISK_PAUSE).await;
            }
            opened => {
                if was_told {
                    parts.events.emit(&Event::info("disk_regained"));
                }
                return opened;
            }
        }
    }
}

/// What a replica takes from the rest of its host.
struct Surroundings<'a> {
    cfg: &'a EntryConfig,
    parts: &'a EntryParts,
    clock: &'a Arc<dyn Clock>,
    mesh: &'a Arc<Mesh>,
    hint: &'a Arc<LeaderHint>,
    stop: &'a CancellationToken,
}

impl Surroundings<'_> {
    fn seat(&self, store: FileStore, recovered: Recovered, seed: u64) -> Outcome<Seated> {
        let timing = &self.cfg.timing;
        let flow = Arc::new(WorkflowState::new(timing.ended_job_retention_ms()));
        let state = Arc::new(WorkflowLog(Arc::clone(&flow)));
        let mut applied = LogIndex(0);
        if let Some((meta, image)) = &recovered.snapshot {
            state.restore(image)?;
            applied = meta.index;
        }
        let saved = recovered.snapshot.clone();
        let replica = Replica::new(timing.agreement_config(), recovered, seed);
        let id = replica.id();
        let event = Event::info("replica_recovered").index(replica.last_index());
        let event = event.term(replica.term()).detail(format!("member {id}"));
        self.parts.events.emit(&event);
        let (tx, rx) = channel();
        let dispatch = DispatchHandle::new(tx);
        let parts = ReplicaParts {
            replica,
            store: Box::new(store),
            saved,
            state,
            clock: Arc::clone(self.clock),
            links: Arc::clone(&self.mesh.links),
            sink: Arc::new(DispatchSink(dispatch.clone())),
            hint: Arc::clone(self.hint),
            events: Arc::clone(&self.parts.events),
            metrics: Arc::clone(&self.parts.replica_metrics),
        };
        for member in parts.replica.members().by_id.values() {
            self.mesh.connect(&member.host);
        }
        let (handle, replica_thread) = ReplicaDriver::start(parts, applied);
        let at_work = Arc::new(AtWork::default());
        let parts = DispatchParts {
            flow: Arc::clone(&flow),
            at_work: Arc::clone(&at_work),
            dispatcher: Dispatcher::new(timing.dispatch_config(), Arc::clone(&flow)),
            handle: dispatch.clone(),
            replica: handle.clone(),
            mesh: Arc::clone(self.mesh),
            external: self.parts.external.clone(),
            clock: Arc::clone(self.clock),
            events: Arc::clone(&self.parts.events),
            metrics: self.parts.metrics.clone(),
            runtime: Handle::current(),
            stop: self.stop.clone(),
        };
        let dispatch_thread = DispatchLoop::start(parts, rx);
        let voters = Arc::new(Voters::new(
            handle.clone(),
            Arc::clone(&self.parts.events),
            self.cfg.target_voters(),
            timing.replace_after(),
        ));
        let desk = LeaderDesk {
            flow,
            replica: handle.clone(),
            dispatch,
            clock: Arc::clone(self.clock),
            hint: Arc::clone(self.hint),
            events: Arc::clone(&self.parts.events),
            voters,
            heartbeats: Heartbeats::default(),
            heartbeat_address: self.cfg.heartbeat_address.clone(),
            commit_limit: timing.call_attempt_timeout(),
        };
        Ok(Seated {
            id,
            handle,
            desk,
            at_work,
            threads: Mutex::new(vec![dispatch_thread, replica_thread]),
        })
    }
}

/// Takes in what arrives from other hosts.
#[derive(Debug)]
struct Inbound(Arc<EntryHost>);

impl PeerSink for Inbound {
    fn receive(&self, host: &HostName, event: PeerEvent) {
        match event {
            PeerEvent::Agreement { from, to, msg } => {
                if let Some(seated) = self.0.replica.as_ref().filter(|seated| seated.id == to) {
                    self.0.mesh.connect(host);
                    seated.handle.message(host.clone(), from, msg);
                }
            }
            PeerEvent::Call { id, body } => {
                let (own, caller) = (Arc::clone(&self.0), host.clone());
                tokio::spawn(async move {
                    let reply = match mesh::decode::<Request>(&body) {
                        Ok(request) => own.answer_here(request).await,
                        Err(failure) => Err(failure),
                    };
                    own.mesh.answer(&caller, id, &reply);
                });
            }
            PeerEvent::Answer { id, body } => self.0.mesh.answered(id, body),
            // Workers are called here, and there are no load summaries.
            PeerEvent::Up { .. } | PeerEvent::Down { .. } | PeerEvent::Load(_) => {}
        }
    }
}

/// Codes after which a request is sent to the next leader.
fn is_unreached(code: Code) -> bool {
    matches!(
        code,
        Code::NoLeader | Code::NotLeader | Code::HostUnreachable | Code::NotConfirmed
    )
}

fn kind_of(request: &Request) -> &'static str {
    match request {
        Request::Submit { .. } => "submit",
        Request::ReadStatus { .. } => "look",
        Request::Cancel { .. } => "cancel",
        Request::PutConfiguration(_) => "put_configuration",
        Request::ReadConfiguration => "read_configuration",
        Request::Announce(_) => "announce",
        Request::Leave(_) => "leave",
        Request::StartWave { .. } => "start_wave",
        Request::CheckWave(_) => "look_at_wave",
        Request::Hello(_) => "hello",
        Request::Advise(_) => "advise",
    }
}
