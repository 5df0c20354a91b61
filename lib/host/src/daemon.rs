use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use rand_chacha::{
    ChaCha12Rng,
    rand_core::{Rng, SeedableRng},
};
use tarragon_codes::{Code, Failure, Outcome};
use tarragon_front::{FrontConfig, FrontLimits, LogLevelSetter};
use tarragon_leases::WorkerOrder;
use tarragon_names::{HostName, Millis};
use tarragon_proxy::{Proxy, ProxyConfig};
use tarragon_routing::{PoolLoad, RoutingConfig};
use tarragon_settings::HostSettings;
use tarragon_telemetry::{Event, EventSink, Metrics};
use tarragon_wire::peer::PeerEvent;
use tokio::{net::TcpListener, task::JoinSet, time::interval};
use tokio_util::sync::CancellationToken;

use crate::{
    CatalogueView, ControlClients, ControlPeers, ControlServer, FreshEntries, HostBackend,
    HostCore, Inbound, LeaderCalls, LinkMeter, LogKeys, OrderRoutes, WorkerGateway,
    member_repair::repair_members,
    metrics_page,
    replica_runtime::{ReplicaRuntime, Surroundings, keep_membership},
};
use tarragon_replica::{
    Clock, LeaderHint, LinkTiming, Links, PeerListener, PeerSink, SystemClock, process_seed,
};

/// Silence of a worker after which its connection is closed, in heartbeats.
const WORKER_SILENT_BEATS: u64 = 5;

/// Time after which an unchanged load summary is sent again.
const LOAD_REPEAT: Millis = Millis(1_000);

/// Time between the transfer of the leadership and the end of the links.
const TRANSFER_TIME: Duration = Duration::from_millis(500);

/// What the daemon is started with besides its settings.
#[derive(Clone)]
pub struct DaemonParts {
    /// Where events go.
    pub events: Arc<dyn EventSink>,
    /// Changes the level of the events.
    pub log_level: LogLevelSetter,
    /// Begins the planned stop.
    pub stop: CancellationToken,
}

impl std::fmt::Debug for DaemonParts {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("DaemonParts")
            .field("events", &self.events)
            .finish_non_exhaustive()
    }
}

/// Runs an entry host until its planned stop has ended.
pub async fn run(cfg: HostSettings, parts: DaemonParts) -> Outcome<()> {
    let seed = ChaCha12Rng::from_seed(process_seed()).next_u64();
    let clock: Arc<dyn Clock> = Arc::new(SystemClock::start());
    let metrics = Arc::new(Metrics::new());
    let hosts = cfg
        .hosts
        .iter()
        .map(|host| (host.name.clone(), host.domain.clone()));
    let meter = Arc::new(LinkMeter::new(
        cfg.name.clone(),
        &cfg.domain,
        hosts,
        &metrics,
    ));
    // The links outlive the planned stop's first steps, since requests in flight need them.
    let links_stop = CancellationToken::new();
    let timing = link_timing(&cfg);
    let observer = Arc::clone(&meter) as _;
    let links = Links::new(cfg.name.clone(), timing, observer, links_stop.clone());
    for host in &cfg.hosts {
        links.connect(&host.name, host.peer);
    }
    let links = Arc::new(links);
    let hint = Arc::new(LeaderHint::default());
    let clients = Arc::new(ControlClients::new(&cfg, Arc::clone(&meter)));
    let silent = Duration::from_millis(cfg.timing.worker_beat.0 * WORKER_SILENT_BEATS);
    let gateway = Arc::new(WorkerGateway::new(
        silent,
        cfg.limits.max_connections as usize,
        Arc::clone(&meter),
    ));
    let routes = Arc::new(OrderRoutes::new(Arc::clone(&gateway), Arc::clone(&links)));

    let surroundings = Surroundings {
        cfg: &cfg,
        clock: &clock,
        links: &links,
        hint: &hint,
        routes: &routes,
        events: &parts.events,
        metrics: &metrics,
    };
    let replica = match cfg.data_dir {
        Some(_) => Some(ReplicaRuntime::start(&surroundings, seed)?),
        None => None,
    };
    let leader = replica
        .as_ref()
        .map(|replica| replica.leader(&surroundings));
    let calls = LeaderCalls::new(
        cfg.name.clone(),
        replica_hosts(&cfg),
        Arc::clone(&hint),
        Arc::clone(&clients),
    );
    let view = Arc::new(CatalogueView::new(cfg.name.clone()));
    let core = Arc::new(HostCore {
        clock: Arc::clone(&clock),
        events: Arc::clone(&parts.events),
        metrics,
        hint: Arc::clone(&hint),
        clients: Arc::clone(&clients),
        calls,
        links: Arc::clone(&links),
        meter,
        view: Arc::clone(&view),
        leader,
        gateway: Arc::clone(&gateway),
        boot: seed,
        accepted: AtomicU64::new(1),
        stopping: AtomicBool::new(false),
        cfg,
    });
    let proxy = Arc::new(Proxy::new(
        proxy_config(&core),
        Arc::new(FreshEntries { view, clock }),
        Arc::new(ControlPeers::new(core.name().clone(), clients)),
        Arc::new(LogKeys(Arc::clone(&core))),
    ));
    let inbound = Arc::new(Inbound {
        replica: replica.as_ref().map(|replica| replica.inbound.clone()),
        routes,
        gateway: Arc::clone(&gateway),
        links,
        hint,
        proxy: Arc::clone(&proxy),
    });
    let host = Daemon {
        core,
        proxy,
        parts,
        links_stop,
    };
    host.serve(inbound, replica).await
}

struct Daemon {
    core: Arc<HostCore>,
    proxy: Arc<Proxy>,
    parts: DaemonParts,
    links_stop: CancellationToken,
}

impl Daemon {
    async fn serve(self, inbound: Arc<Inbound>, replica: Option<ReplicaRuntime>) -> Outcome<()> {
        let cfg = &self.core.cfg;
        let stop = &self.links_stop;
        let mut tasks = JoinSet::new();

        let sink: Arc<dyn PeerSink> = Arc::clone(&inbound) as _;
        let listener = bind("peer", cfg.peer).await?;
        let meter = Arc::clone(&self.core.meter) as _;
        let listener = PeerListener::new(listener, cfg.name.clone(), link_timing(cfg), meter);
        tasks.spawn(listener.run(sink, stop.clone()));

        let control = ControlServer::new(Arc::clone(&self.core), Arc::clone(&self.proxy));
        let listener = bind("control", cfg.control).await?;
        tasks.spawn(control.run(listener, stop.clone()));

        let gateway = Arc::clone(&self.core.gateway);
        let listener = bind("worker", cfg.worker).await?;
        tasks.spawn(gateway.run(listener, inbound, stop.clone()));

        tasks.spawn(Arc::clone(&self.core).poll_catalogue(stop.clone()));
        tasks.spawn(send_loads(
            Arc::clone(&self.core),
            Arc::clone(&self.proxy),
            stop.clone(),
        ));
        let (proxy, proxy_stop) = (Arc::clone(&self.proxy), stop.clone());
        tasks.spawn(async move { proxy.run(proxy_stop).await });
        tasks.spawn(repair_members(Arc::clone(&self.core), stop.clone()));
        if let Some(replica) = &replica {
            tasks.spawn(keep_membership(
                Arc::clone(&self.core),
                replica.inbound.id,
                stop.clone(),
            ));
        }

        let listener = bind("http", cfg.http).await?;
        let backend = HostBackend::new(Arc::clone(&self.core), Arc::clone(&self.proxy));
        let front_stop = CancellationToken::new();
        let front = tokio::spawn(tarragon_front::serve(
            listener,
            Arc::new(backend),
            self.front_config(),
            front_stop.clone(),
        ));
        self.emit(&Event::info("started").detail(format!("http {}", cfg.http)));

        self.parts.stop.cancelled().await;
        self.drain(replica.as_ref(), &front_stop).await;
        let _cut_off = front.await;
        stop.cancel();
        tasks.shutdown().await;
        if let Some(replica) = replica {
            replica.stop();
        }
        self.emit(&Event::info("stopped"));
        Ok(())
    }

    /// Steps of a planned stop up to the end of the requests in flight.
    async fn drain(&self, replica: Option<&ReplicaRuntime>, front_stop: &CancellationToken) {
        let timing = &self.core.cfg.timing;
        self.core.stopping.store(true, Ordering::Release);
        self.emit(&Event::info("stopping"));
        self.proxy.move_executors();
        self.core.gateway.send_all(&WorkerOrder::Move);
        // The balancer needs this long to see that the host is not ready.
        tokio::time::sleep(Duration::from_millis(timing.drain_grace.0)).await;
        if let Some(replica) = replica {
            replica.inbound.handle.transfer();
            tokio::time::sleep(TRANSFER_TIME).await;
        }
        front_stop.cancel();
        let limit = Duration::from_millis(timing.drain_max.0.saturating_sub(timing.drain_grace.0));
        if !self.proxy.drain(limit).await {
            self.emit(&Event::warning("requests_cut_off"));
        }
    }

    fn front_config(&self) -> FrontConfig {
        let cfg = &self.core.cfg;
        let (core, proxy) = (Arc::clone(&self.core), Arc::clone(&self.proxy));
        FrontConfig {
            token: Some(Arc::from(cfg.token.reveal())),
            announce_token: None,
            limits: FrontLimits {
                connections: cfg.limits.max_connections as usize,
                body_bytes: cfg.limits.max_body_bytes as usize,
                propose_timeout: Duration::from_millis(cfg.timing.propose_timeout.0),
                drain_max: Duration::from_millis(cfg.timing.drain_max.0),
                ..FrontLimits::default()
            },
            metrics: Arc::new(move || metrics_page::render(&core, &proxy)),
            log_level: Arc::clone(&self.parts.log_level),
        }
    }

    fn emit(&self, event: &Event) {
        self.parts.events.emit(event);
    }
}

/// Sends load summaries to the other hosts until the stop: at once after a change, at most every
/// `load_beat`, and else seldom, because links between failure domains cost.
async fn send_loads(core: Arc<HostCore>, proxy: Arc<Proxy>, stop: CancellationToken) {
    let mut due = interval(Duration::from_millis(core.cfg.timing.load_beat.0));
    let mut last = None::<(Vec<PoolLoad>, Millis)>;
    while stop.run_until_cancelled(due.tick()).await.is_some() {
        let load = proxy.load_summary();
        let now = core.clock.now();
        let is_known = last
            .as_ref()
            .is_some_and(|(pools, sent)| *pools == load.pools && now.since(*sent) < LOAD_REPEAT);
        if !is_known {
            last = Some((load.pools.clone(), now));
            core.links.broadcast(&PeerEvent::Load(load));
        }
    }
}

fn proxy_config(core: &HostCore) -> ProxyConfig {
    let executor_lease = core.cfg.timing.executor_lease;
    ProxyConfig {
        routing: RoutingConfig {
            executor_lease,
            join_delay: executor_lease.lease_end(),
            summary_max_age: Millis(2 * LOAD_REPEAT.0 + core.cfg.timing.load_beat.0),
            ..RoutingConfig::default()
        },
        ..ProxyConfig::new(core.name().clone(), core.boot)
    }
}

fn link_timing(cfg: &HostSettings) -> LinkTiming {
    LinkTiming {
        beat: Duration::from_millis(cfg.timing.link_beat.0),
        silent: Duration::from_millis(cfg.timing.link_silent.0),
    }
}

/// Hosts that may be replicas; any host may, so the initial voters come first.
fn replica_hosts(cfg: &HostSettings) -> Vec<HostName> {
    let others = cfg.hosts.iter().map(|host| &host.name);
    let others = others.filter(|host| !cfg.initial_voters.contains(host));
    cfg.initial_voters.iter().chain(others).cloned().collect()
}

async fn bind(what: &str, address: SocketAddr) -> Outcome<TcpListener> {
    TcpListener::bind(address).await.map_err(|e| {
        Failure::new(
            Code::BadSettings,
            format!("cannot listen on the {what} address {address}: {e}"),
        )
    })
}
