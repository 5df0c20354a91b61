use std::{net::SocketAddr, sync::Arc, time::Duration};

use tarragon_codes::{Code, Failure, Outcome};
use tarragon_entry::{EntryHost, EntryMetrics};
use tarragon_front::{BodyBudget, FrontLimits, HttpHandler, serve_http};
use tarragon_platform::{
    CallerInterface, ControlInterface, MetricsInterface, PlatformSettings, ReadyInterface,
};
use tarragon_settings::EntrySettings;
use tarragon_telemetry::Metrics;
use tokio::{net::TcpListener, task::JoinSet};
use tokio_util::sync::CancellationToken;

use crate::entryd::Logs;

/// Connections of one interface; well below the descriptors of a host.
const CONNECTIONS: usize = 1_500;

/// Largest body that an interface takes, in bytes; a configuration has thousands of routes.
pub(crate) const BODY_BYTES: usize = 4 << 20;

/// Time after which an idle connection is closed; longer than callers keep theirs.
const IDLE: Duration = Duration::from_secs(60);

/// The HTTP interfaces of a host.
pub(crate) struct Listeners {
    tasks: JoinSet<()>,
    stop: CancellationToken,
}

impl Listeners {
    pub(crate) async fn start(
        own: &EntrySettings,
        platform: &PlatformSettings,
        host: &Arc<EntryHost>,
        logs: Logs,
        metrics: EntryMetrics,
        replica_metrics: Arc<Metrics>,
    ) -> Outcome<Self> {
        let limits = FrontLimits {
            max_connections: CONNECTIONS,
            max_body_bytes: BODY_BYTES,
            body_budget: Arc::new(BodyBudget::of_memory(platform.memory_bytes)),
            head_timeout: IDLE,
            drain_timeout: platform.entry.timing.max_request_drain_time(),
            ..FrontLimits::default()
        };
        let mut listeners = Self {
            tasks: JoinSet::new(),
            stop: CancellationToken::new(),
        };
        let control = ControlInterface::new(Arc::clone(host), limits.clone());
        listeners
            .add(platform.control, limits.clone(), Arc::new(control))
            .await?;
        if let Some(address) = platform.front {
            let callers = CallerInterface::new(Arc::clone(host), limits.clone());
            listeners
                .add(address, limits.clone(), Arc::new(callers))
                .await?;
        }
        if let Some(address) = platform.readiness {
            let ready = ReadyInterface(Arc::clone(host));
            listeners
                .add(address, limits.clone(), Arc::new(ready))
                .await?;
        }
        let render = move || {
            metrics.log_dropped.set(logs.dropped() as i64);
            metrics.render(&replica_metrics.render())
        };
        let address = SocketAddr::new(platform.entry.peer_address.ip(), own.metrics_port);
        let page = MetricsInterface(Arc::new(render));
        listeners.add(address, limits, Arc::new(page)).await?;
        Ok(listeners)
    }

    async fn add(
        &mut self,
        address: SocketAddr,
        limits: FrontLimits,
        handler: Arc<dyn HttpHandler>,
    ) -> Outcome<()> {
        let listener = TcpListener::bind(address).await.map_err(|e| {
            Failure::new(
                Code::BadSettings,
                format!("cannot listen on {address}: {e}"),
            )
        })?;
        let stop = self.stop.clone();
        self.tasks
            .spawn(serve_http(listener, handler, limits, stop));
        Ok(())
    }

    /// Ends the interfaces after the requests in flight.
    pub(crate) async fn finish(mut self) {
        self.stop.cancel();
        while self.tasks.join_next().await.is_some() {}
    }
}
