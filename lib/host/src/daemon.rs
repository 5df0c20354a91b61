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
use tarragon_discovery::LeaderHint;
use tarragon_front::{BodyBudget, FrontConfig, FrontLimits, LogLevelSetter};
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
    CatalogueEntrySource, CatalogueView, ControlClients, ControlPeers, ControlServer, HostBackend,
    HostCore, InboundRouter, LeaderClient, LinkMeter, OrderRoutes, ReplicatedKeyLog, WorkerGateway,
    member_repair::repair_members,
    metrics_page,
    replica_runtime::{ReplicaDependencies, ReplicaRuntime, keep_membership, state_limits},
};
use tarragon_replica::{
    Clock, LinkTiming, Links, PeerListener, PeerSink, SystemClock, process_seed,
};

/// Number of heartbeat intervals without a message after which a worker's connection is closed.
const WORKER_SILENCE_HEARTBEATS: u64 = 5;

/// Interval at which an unchanged load summary is sent again.
const LOAD_RESEND_INTERVAL: Millis = Millis(1_000);

/// Time that a planned stop waits for the transfer of leadership before it stops the HTTP interface
/// and, last, the links.
const LEADERSHIP_TRANSFER_WAIT: Duration = Duration::from_millis(500);

/// Dependencies of the daemon besides its settings.
#[derive(Clone)]
pub struct DaemonParts {
    /// Receives the events of all parts of the host.
    pub events: Arc<dyn EventSink>,
    /// Sets the log level by its name; called by the HTTP interface.
    pub log_level: LogLevelSetter,
    /// Token whose cancellation starts the planned stop.
    pub stop: CancellationToken,
}

impl std::fmt::Debug for DaemonParts {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("DaemonParts")
            .field("events", &self.events)
            .finish_non_exhaustive()
    }
}

/// Runs an entry host until its planned stop has completed.
///
/// Fails if the replica cannot be recovered or an address cannot be bound.
pub async fn run(cfg: HostSettings, parts: DaemonParts) -> Outcome<()> {
    let seed = ChaCha12Rng::from_seed(process_seed()).next_u64();
    let clock: Arc<dyn Clock> = Arc::new(SystemClock::start());
    let metrics = Arc::new(Metrics::new());
    let hosts = cfg
        .hosts
        .iter()
        .map(|host| (host.name.clone(), host.domain.clone()));
    let link_meter = Arc::new(LinkMeter::new(
        cfg.name.clone(),
        &cfg.domain,
        hosts,
        &metrics,
    ));
    // The links have a token of their own, since requests in flight still need them after the
    // planned stop has begun.
    let links_stop = CancellationToken::new();
    let timing = link_timing(&cfg);
    let observer = Arc::clone(&link_meter) as _;
    let links = Links::new(cfg.name.clone(), timing, observer, links_stop.clone());
    for host in &cfg.hosts {
        links.connect(&host.name, host.peer);
    }
    let links = Arc::new(links);
    let leader_hint = Arc::new(LeaderHint::default());
    let clients = Arc::new(ControlClients::new(&cfg, Arc::clone(&link_meter)));
    let silence_timeout =
        Duration::from_millis(cfg.timing.worker_heartbeat_interval.0 * WORKER_SILENCE_HEARTBEATS);
    let gateway = Arc::new(WorkerGateway::new(
        silence_timeout,
        cfg.limits.max_connections as usize,
        Arc::clone(&link_meter),
    ));
    let routes = Arc::new(OrderRoutes::new(Arc::clone(&gateway), Arc::clone(&links)));

    let dependencies = ReplicaDependencies {
        cfg: &cfg,
        clock: &clock,
        links: &links,
        leader_hint: &leader_hint,
        routes: &routes,
        events: &parts.events,
        metrics: &metrics,
    };
    let replica = match cfg.data_dir {
        Some(_) => Some(ReplicaRuntime::start(&dependencies, seed)?),
        None => None,
    };
    let local_leader = replica
        .as_ref()
        .map(|replica| replica.local_leader(&dependencies));
    let leader_client = LeaderClient::new(
        cfg.name.clone(),
        replica_hosts(&cfg),
        Arc::clone(&leader_hint),
        Arc::clone(&clients),
    );
    let catalogue_view = Arc::new(CatalogueView::new(cfg.name.clone()));
    let core = Arc::new(HostCore {
        clock: Arc::clone(&clock),
        events: Arc::clone(&parts.events),
        metrics,
        leader_hint: Arc::clone(&leader_hint),
        clients: Arc::clone(&clients),
        leader_client,
        links: Arc::clone(&links),
        link_meter,
        catalogue_view: Arc::clone(&catalogue_view),
        local_leader,
        gateway: Arc::clone(&gateway),
        boot: seed,
        next_key_number: AtomicU64::new(1),
        stop_requested: AtomicBool::new(false),
        cfg,
    });
    let proxy = Arc::new(Proxy::new(
        proxy_config(&core),
        Arc::new(CatalogueEntrySource {
            catalogue_view,
            clock,
        }),
        Arc::new(ControlPeers::new(core.name().clone(), clients)),
        Arc::new(ReplicatedKeyLog(Arc::clone(&core))),
    ));
    let inbound_router = Arc::new(InboundRouter {
        replica: replica.as_ref().map(|replica| replica.endpoint.clone()),
        routes,
        gateway: Arc::clone(&gateway),
        links,
        leader_hint,
        proxy: Arc::clone(&proxy),
    });
    let daemon = Daemon {
        core,
        proxy,
        parts,
        links_stop,
    };
    daemon.serve(inbound_router, replica).await
}

struct Daemon {
    core: Arc<HostCore>,
    proxy: Arc<Proxy>,
    parts: DaemonParts,
    links_stop: CancellationToken,
}

impl Daemon {
    async fn serve(
        self,
        inbound_router: Arc<InboundRouter>,
        replica: Option<ReplicaRuntime>,
    ) -> Outcome<()> {
        let cfg = &self.core.cfg;
        let stop = &self.links_stop;
        let mut tasks = JoinSet::new();

        let sink: Arc<dyn PeerSink> = Arc::clone(&inbound_router) as _;
        let listener = bind("peer", cfg.peer).await?;
        let meter = Arc::clone(&self.core.link_meter) as _;
        let listener = PeerListener::new(listener, cfg.name.clone(), link_timing(cfg), meter)
            .with_state_limits(state_limits(cfg));
        tasks.spawn(listener.run(sink, stop.clone()));

        let control = ControlServer::new(Arc::clone(&self.core), Arc::clone(&self.proxy));
        let listener = bind("control", cfg.control).await?;
        tasks.spawn(control.run(listener, stop.clone()));

        let gateway = Arc::clone(&self.core.gateway);
        let listener = bind("worker", cfg.worker).await?;
        tasks.spawn(gateway.run(listener, inbound_router, stop.clone()));

        tasks.spawn(Arc::clone(&self.core).poll_catalogue(stop.clone()));
        tasks.spawn(send_load_summaries(
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
                replica.endpoint.member_id,
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

    /// Runs the first part of a planned stop: hands executors, workers and leadership over to other
    /// hosts and waits for the requests in flight.
    async fn drain(&self, replica: Option<&ReplicaRuntime>, front_stop: &CancellationToken) {
        let timing = &self.core.cfg.timing;
        self.core.stop_requested.store(true, Ordering::Release);
        self.emit(&Event::info("stopping"));
        self.proxy.move_executors();
        self.core.gateway.send_all(&WorkerOrder::SwitchGateway);
        // The load balancer needs this long to notice that the host is not ready.
        tokio::time::sleep(Duration::from_millis(timing.drain_grace.0)).await;
        if let Some(replica) = replica {
            replica.endpoint.handle.transfer_leadership();
            tokio::time::sleep(LEADERSHIP_TRANSFER_WAIT).await;
        }
        front_stop.cancel();
        let timeout =
            Duration::from_millis(timing.drain_max.0.saturating_sub(timing.drain_grace.0));
        if !self.proxy.drain(timeout).await {
            self.emit(&Event::warning("requests_cut_off"));
        }
    }

    fn front_config(&self) -> FrontConfig {
        let cfg = &self.core.cfg;
        let (core, proxy) = (Arc::clone(&self.core), Arc::clone(&self.proxy));
        let memory_bytes = u64::from(cfg.limits.memory_mb) << 20;
        FrontConfig {
            token: Some(Arc::from(cfg.token.reveal())),
            announce_token: None,
            limits: FrontLimits {
                max_connections: cfg.limits.max_connections as usize,
                max_body_bytes: cfg.limits.max_body_bytes as usize,
                body_budget: Arc::new(BodyBudget::of_memory(memory_bytes)),
                propose_timeout: Duration::from_millis(cfg.timing.propose_timeout.0),
                drain_timeout: Duration::from_millis(cfg.timing.drain_max.0),
                ..FrontLimits::default()
            },
            render_metrics: Arc::new(move || metrics_page::render(&core, &proxy)),
            set_log_level: Arc::clone(&self.parts.log_level),
        }
    }

    fn emit(&self, event: &Event) {
        self.parts.events.emit(event);
    }
}

/// Sends load summaries to the other hosts until `stop` is cancelled.
///
/// The summary is checked every `load_summary_interval` and sent at once if it has changed. An
/// unchanged one is sent only every [`LOAD_RESEND_INTERVAL`], because traffic between failure domains
/// is expensive.
async fn send_load_summaries(core: Arc<HostCore>, proxy: Arc<Proxy>, stop: CancellationToken) {
    let mut due = interval(Duration::from_millis(
        core.cfg.timing.load_summary_interval.0,
    ));
    let mut last_sent = None::<(Vec<PoolLoad>, Millis)>;
    while stop.run_until_cancelled(due.tick()).await.is_some() {
        let load = proxy.load_summary();
        let now = core.clock.now();
        let is_recently_sent = last_sent.as_ref().is_some_and(|(pools, sent)| {
            *pools == load.pools && now.since(*sent) < LOAD_RESEND_INTERVAL
        });
        if !is_recently_sent {
            last_sent = Some((load.pools.clone(), now));
            core.links.broadcast(&PeerEvent::Load(load));
        }
    }
}

fn proxy_config(core: &HostCore) -> ProxyConfig {
    let executor_lease = core.cfg.timing.executor_lease;
    ProxyConfig {
        routing: RoutingConfig {
            executor_lease,
            join_delay: executor_lease.with_clock_margin(),
            summary_max_age: Millis(
                2 * LOAD_RESEND_INTERVAL.0 + core.cfg.timing.load_summary_interval.0,
            ),
            ..RoutingConfig::default()
        },
        ..ProxyConfig::new(core.name().clone(), core.boot)
    }
}

fn link_timing(cfg: &HostSettings) -> LinkTiming {
    LinkTiming {
        heartbeat_interval: Duration::from_millis(cfg.timing.link_heartbeat_interval.0),
        silence_timeout: Duration::from_millis(cfg.timing.link_silence_timeout.0),
    }
}

/// Returns the hosts that may hold a replica, in the order in which they are asked for the leader.
///
/// Any host may hold a replica; the initial voters come first because they most likely do.
fn replica_hosts(cfg: &HostSettings) -> Vec<HostName> {
    let others = cfg.hosts.iter().map(|host| &host.name);
    let others = others.filter(|host| !cfg.initial_voters.contains(host));
    cfg.initial_voters.iter().chain(others).cloned().collect()
}

async fn bind(name: &str, address: SocketAddr) -> Outcome<TcpListener> {
    TcpListener::bind(address).await.map_err(|e| {
        Failure::new(
            Code::BadSettings,
            format!("cannot listen on the {name} address {address}: {e}"),
        )
    })
}
