use std::{io, net::SocketAddr, sync::Arc, time::Duration};

use futures::{FutureExt, future::BoxFuture};
use tarragon_catalogue::CatalogueEntry;
use tarragon_cell::{Answer, Command, Query, QueryAnswer};
use tarragon_codes::{Code, Failure, Outcome};
use tarragon_front::{
    BoxOutcome, FrontConfig, HostApi, HostView, ServiceCall, ServiceReply, serve,
};
use tarragon_names::{ExecutorName, HostName, JobId, JobName, MemberId, Revision};
use tarragon_proxy::{
    CatalogueLookup, ForwardError, ForwardReply, KeyClaim, KeyLog, Peers, Proxy, ProxyConfig,
};
use tarragon_routing::{Announcement, AnnouncementReply, ExecutorView};
use tarragon_scheduler::{Explanation, WorkerView};
use tarragon_standin::{ExecutorConfig, StandinExecutor};
use tokio::{net::TcpListener, runtime::Runtime, time::sleep};
use tokio_util::sync::CancellationToken;

/// Threads of each part, so that parts do not wait for each other's work.
const THREADS: usize = 2;

/// Time between two looks at whether all executors take requests.
const POLL: Duration = Duration::from_millis(50);

/// Looks before the start is given up.
const POLLS: usize = 200;

/// One entry host without a replica: HTTP interface and request path as the daemon runs them.
#[derive(Debug)]
pub(crate) struct ServiceSite {
    pub(crate) front: SocketAddr,
    pub(crate) proxy: Arc<Proxy>,
    pub(crate) executors: Vec<StandinExecutor>,
    shutdown: CancellationToken,
    _host: Runtime,
    _backends: Runtime,
}

/// What a site consists of.
#[derive(Clone, Debug)]
pub(crate) struct SiteConfig {
    pub(crate) entry: CatalogueEntry,
    pub(crate) retries: bool,
    pub(crate) executors: usize,
    pub(crate) slots: u32,
    pub(crate) service_time: Duration,
}

impl SiteConfig {
    /// Requests a second that all slots together can run.
    pub(crate) fn saturation(&self) -> f64 {
        let slots = self.executors as f64 * f64::from(self.slots);
        slots / self.service_time.as_secs_f64()
    }
}

impl ServiceSite {
    /// Starts a host and its executors and waits until they take requests.
    pub(crate) fn start(cfg: &SiteConfig) -> io::Result<Self> {
        let host = runtime()?;
        let backends = runtime()?;
        let proxy = Arc::new(Proxy::new(
            ProxyConfig {
                retries_enabled: cfg.retries,
                ..ProxyConfig::new("h1".into(), 1 << 32)
            },
            Arc::new(OneEntry(Arc::new(cfg.entry.clone()))),
            Arc::new(Alone),
            Arc::new(Alone),
        ));
        let shutdown = CancellationToken::new();
        let listener = host.block_on(TcpListener::bind("127.0.0.1:0"))?;
        let front = listener.local_addr()?;
        let backend = Arc::new(SiteBackend {
            host: "h1".into(),
            proxy: Arc::clone(&proxy),
        });
        let serving = serve(listener, backend, FrontConfig::default(), shutdown.clone());
        host.spawn(serving);
        let (running, stop) = (Arc::clone(&proxy), shutdown.clone());
        host.spawn(async move { running.run(stop).await });
        let executors = (0..cfg.executors).map(|n| {
            backends.block_on(StandinExecutor::start(ExecutorConfig {
                slots: cfg.slots,
                service_time: cfg.service_time,
                spread_percent: 0,
                ..ExecutorConfig::new(
                    format!("e{n}"),
                    cfg.entry.pool.clone().unwrap_or_default(),
                    vec![front],
                )
            }))
        });
        let executors = executors.collect::<io::Result<Vec<_>>>()?;
        let all = cfg.executors as u32 * cfg.slots;
        let joined = async {
            for _ in 0..POLLS {
                if proxy
                    .load_summary()
                    .pools
                    .iter()
                    .any(|pool| pool.free == all)
                {
                    return true;
                }
                sleep(POLL).await;
            }
            false
        };
        if !host.block_on(joined) {
            return Err(io::Error::other("the executors did not join"));
        }
        Ok(Self {
            front,
            proxy,
            executors,
            shutdown,
            _host: host,
            _backends: backends,
        })
    }

    /// Requests beyond the slots of an executor, which must be none.
    pub(crate) fn violations(&self) -> u64 {
        self.executors.iter().map(StandinExecutor::violations).sum()
    }
}

impl Drop for ServiceSite {
    fn drop(&mut self) {
        self.shutdown.cancel();
    }
}

pub(crate) fn runtime() -> io::Result<Runtime> {
    tokio::runtime::Builder::new_multi_thread()
        .worker_threads(THREADS)
        .enable_all()
        .build()
}

#[derive(Debug)]
struct OneEntry(Arc<CatalogueEntry>);

impl CatalogueLookup for OneEntry {
    fn resolve(&self, _: &JobName) -> Outcome<Arc<CatalogueEntry>> {
        Ok(Arc::clone(&self.0))
    }
}

/// A host without others and without a log.
#[derive(Debug)]
struct Alone;

impl Peers for Alone {
    fn forward(
        &self,
        _: HostName,
        _: ServiceCall,
        _: Duration,
    ) -> BoxFuture<'_, Result<ForwardReply, ForwardError>> {
        let failure = Failure::of(Code::HostUnreachable);
        async move {
            Err(ForwardError {
                may_have_been_sent: false,
                failure,
            })
        }
        .boxed()
    }
}

impl KeyLog for Alone {
    fn claim(&self, _: KeyClaim) -> BoxOutcome<'_, Answer> {
        absent()
    }

    fn complete(&self, _: KeyClaim, _: u16, _: Option<Arc<[u8]>>) -> BoxOutcome<'_, ()> {
        absent()
    }
}

#[derive(Debug)]
struct SiteBackend {
    host: HostName,
    proxy: Arc<Proxy>,
}

impl HostApi for SiteBackend {
    fn serve(&self, call: ServiceCall) -> BoxOutcome<'_, ServiceReply> {
        self.proxy.serve(call).boxed()
    }

    fn announce(&self, announcement: Announcement) -> Outcome<AnnouncementReply> {
        self.proxy.announce(announcement)
    }

    fn is_ready(&self) -> bool {
        true
    }

    fn host_name(&self) -> &HostName {
        &self.host
    }

    fn propose(&self, _: Command, _: Duration) -> BoxOutcome<'_, Answer> {
        absent()
    }

    fn query(&self, _: Query) -> BoxOutcome<'_, QueryAnswer> {
        absent()
    }

    fn drain_executor(&self, _: ExecutorName, _: bool) -> BoxOutcome<'_, ()> {
        absent()
    }

    fn executors(&self) -> BoxOutcome<'_, Vec<ExecutorView>> {
        absent()
    }

    fn workers(&self) -> BoxOutcome<'_, Vec<WorkerView>> {
        absent()
    }

    fn hosts(&self) -> BoxOutcome<'_, Vec<HostView>> {
        absent()
    }

    fn explain(&self, _: JobId) -> BoxOutcome<'_, Explanation> {
        absent()
    }

    fn is_in_force(&self, _: Revision) -> BoxOutcome<'_, bool> {
        absent()
    }

    fn replace_member(&self, _: MemberId, _: MemberId) -> BoxOutcome<'_, ()> {
        absent()
    }
}

/// Answer of what a site without a replica does not have.
fn absent<'a, T>() -> BoxOutcome<'a, T>
where
    T: Send + 'a,
{
    async { Err(Failure::of(Code::NoLeader)) }.boxed()
}
