use std::{net::SocketAddr, sync::Arc, time::Duration};

use futures::FutureExt;
use tarragon_cell::{Answer, Command, Query, QueryAnswer};
use tarragon_codes::{Code, Failure, Outcome};
use tarragon_front::{
    BoxOutcome, FrontConfig, HostApi, HostView, ServiceCall, ServiceReply, serve,
};
use tarragon_names::{ExecutorName, HostName, JobId, MemberId, Revision};
use tarragon_proxy::Proxy;
use tarragon_routing::{Announcement, AnnouncementReply, ExecutorView};
use tarragon_scheduler::{Explanation, WorkerView};
use tokio::{net::TcpListener, task::JoinHandle};
use tokio_util::sync::CancellationToken;

/// HTTP interface of a host that has no replica.
pub struct Host {
    pub address: SocketAddr,
    pub shutdown: CancellationToken,
    pub server: JoinHandle<()>,
}

impl Host {
    /// Starts the HTTP interface of a proxy on a loopback address.
    pub async fn start(proxy: &Arc<Proxy>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let backend = Arc::new(ProxyBackend {
            host: proxy.load_summary().host,
            proxy: Arc::clone(proxy),
        });
        let shutdown = CancellationToken::new();
        let server = serve(listener, backend, FrontConfig::default(), shutdown.clone());
        Self {
            address,
            server: tokio::spawn(server),
            shutdown,
        }
    }
}

#[derive(Debug)]
struct ProxyBackend {
    host: HostName,
    proxy: Arc<Proxy>,
}

/// Answer to calls that need a replica.
fn no_replica<'a, T>() -> BoxOutcome<'a, T>
where
    T: Send + 'a,
{
    async { Err(Failure::of(Code::NoLeader)) }.boxed()
}

impl HostApi for ProxyBackend {
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
        no_replica()
    }

    fn query(&self, _: Query) -> BoxOutcome<'_, QueryAnswer> {
        no_replica()
    }

    fn drain_executor(&self, _: ExecutorName, _: bool) -> BoxOutcome<'_, ()> {
        no_replica()
    }

    fn executors(&self) -> BoxOutcome<'_, Vec<ExecutorView>> {
        no_replica()
    }

    fn workers(&self) -> BoxOutcome<'_, Vec<WorkerView>> {
        no_replica()
    }

    fn hosts(&self) -> BoxOutcome<'_, Vec<HostView>> {
        no_replica()
    }

    fn explain(&self, _: JobId) -> BoxOutcome<'_, Explanation> {
        no_replica()
    }

    fn is_in_force(&self, _: Revision) -> BoxOutcome<'_, bool> {
        no_replica()
    }

    fn replace_member(&self, _: MemberId, _: MemberId) -> BoxOutcome<'_, ()> {
        no_replica()
    }
}
