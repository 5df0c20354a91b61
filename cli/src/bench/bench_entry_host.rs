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

/// Worker threads of each runtime. Host, executors and callers have runtimes of their own, so that
/// none delays the tasks of another.
const THREADS_PER_RUNTIME: usize = 2;

/// Interval between two checks of whether all executors have joined.
const JOIN_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Checks after which the start fails.
const MAX_JOIN_POLLS: usize = 200;

/// One entry host without a replica: HTTP interface and request path as the daemon runs them, with
/// stand-in executors.
#[derive(Debug)]
pub(crate) struct BenchEntryHost {
    pub(crate) http_address: SocketAddr,
    pub(crate) proxy: Arc<Proxy>,
    pub(crate) executors: Vec<StandinExecutor>,
    shutdown: CancellationToken,
    _host_runtime: Runtime,
    _executor_runtime: Runtime,
}

/// Settings of the entry host and its executors.
#[derive(Clone, Debug)]
pub(crate) struct EntryHostConfig {
    pub(crate) entry: CatalogueEntry,
    pub(crate) retries_enabled: bool,
    pub(crate) executors: usize,
    pub(crate) slots: u32,
    pub(crate) service_time: Duration,
}

impl EntryHostConfig {
    /// Requests per second that all slots together can run.
    pub(crate) fn saturation(&self) -> f64 {
        let slots = self.executors as f64 * f64::from(self.slots);
        slots / self.service_time.as_secs_f64()
    }
}

impl BenchEntryHost {
    /// Starts the host and its executors and waits until all slots are announced to the host.
    pub(crate) fn start(cfg: &EntryHostConfig) -> io::Result<Self> {
        let host_runtime = runtime()?;
        let executor_runtime = runtime()?;
        let proxy = Arc::new(Proxy::new(
            ProxyConfig {
                retries_enabled: cfg.retries_enabled,
                ..ProxyConfig::new("h1".into(), 1 << 32)
            },
            Arc::new(SingleEntryCatalogue(Arc::new(cfg.entry.clone()))),
            Arc::new(Standalone),
            Arc::new(Standalone),
        ));
        let shutdown = CancellationToken::new();
        let listener = host_runtime.block_on(TcpListener::bind("127.0.0.1:0"))?;
        let http_address = listener.local_addr()?;
        let backend = Arc::new(EntryHostBackend {
            host: "h1".into(),
            proxy: Arc::clone(&proxy),
        });
        let serving = serve(listener, backend, FrontConfig::default(), shutdown.clone());
        host_runtime.spawn(serving);
        let (running_proxy, stop) = (Arc::clone(&proxy), shutdown.clone());
        host_runtime.spawn(async move { running_proxy.run(stop).await });
        let executors = (0..cfg.executors).map(|n| {
            executor_runtime.block_on(StandinExecutor::start(ExecutorConfig {
                slots: cfg.slots,
                service_time: cfg.service_time,
                spread_percent: 0,
                ..ExecutorConfig::new(
                    format!("e{n}"),
                    cfg.entry.pool.clone().unwrap_or_default(),
                    vec![http_address],
                )
            }))
        });
        let executors = executors.collect::<io::Result<Vec<_>>>()?;
        let total_slots = cfg.executors as u32 * cfg.slots;
        let all_joined = async {
            for _ in 0..MAX_JOIN_POLLS {
                if proxy
                    .load_summary()
                    .pools
                    .iter()
                    .any(|pool| pool.free == total_slots)
                {
                    return true;
                }
                sleep(JOIN_POLL_INTERVAL).await;
            }
            false
        };
        if !host_runtime.block_on(all_joined) {
            return Err(io::Error::other(
                "not all executor slots were announced within 10 s",
            ));
        }
        Ok(Self {
            http_address,
            proxy,
            executors,
            shutdown,
            _host_runtime: host_runtime,
            _executor_runtime: executor_runtime,
        })
    }

    /// Number of requests and connections beyond the limits of the executors; the expected value is
    /// 0.
    pub(crate) fn slot_violations(&self) -> u64 {
        self.executors.iter().map(StandinExecutor::violations).sum()
    }
}

impl Drop for BenchEntryHost {
    fn drop(&mut self) {
        self.shutdown.cancel();
    }
}

pub(crate) fn runtime() -> io::Result<Runtime> {
    tokio::runtime::Builder::new_multi_thread()
        .worker_threads(THREADS_PER_RUNTIME)
        .enable_all()
        .build()
}

#[derive(Debug)]
struct SingleEntryCatalogue(Arc<CatalogueEntry>);

impl CatalogueLookup for SingleEntryCatalogue {
    fn resolve(&self, _: &JobName) -> Outcome<Arc<CatalogueEntry>> {
        Ok(Arc::clone(&self.0))
    }
}

/// Stands in for the other hosts and for the replicated key log, which this host does not have.
#[derive(Debug)]
struct Standalone;

impl Peers for Standalone {
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

impl KeyLog for Standalone {
    fn claim(&self, _: KeyClaim) -> BoxOutcome<'_, Answer> {
        unavailable()
    }

    fn complete(&self, _: KeyClaim, _: u16, _: Option<Arc<[u8]>>) -> BoxOutcome<'_, ()> {
        unavailable()
    }
}

#[derive(Debug)]
struct EntryHostBackend {
    host: HostName,
    proxy: Arc<Proxy>,
}

impl HostApi for EntryHostBackend {
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
        unavailable()
    }

    fn query(&self, _: Query) -> BoxOutcome<'_, QueryAnswer> {
        unavailable()
    }

    fn drain_executor(&self, _: ExecutorName, _: bool) -> BoxOutcome<'_, ()> {
        unavailable()
    }

    fn executors(&self) -> BoxOutcome<'_, Vec<ExecutorView>> {
        unavailable()
    }

    fn workers(&self) -> BoxOutcome<'_, Vec<WorkerView>> {
        unavailable()
    }

    fn hosts(&self) -> BoxOutcome<'_, Vec<HostView>> {
        unavailable()
    }

    fn explain(&self, _: JobId) -> BoxOutcome<'_, Explanation> {
        unavailable()
    }

    fn is_in_force(&self, _: Revision) -> BoxOutcome<'_, bool> {
        unavailable()
    }

    fn replace_member(&self, _: MemberId, _: MemberId) -> BoxOutcome<'_, ()> {
        unavailable()
    }
}

/// Answer to every call that needs a replica.
fn unavailable<'a, T>() -> BoxOutcome<'a, T>
where
    T: Send + 'a,
{
    async { Err(Failure::of(Code::NoLeader)) }.boxed()
}
