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

/// A host with its HTTP interface and without a replica.
pub struct Host {
    pub address: SocketAddr,
    pub shutdown: CancellationToken,
    pub ended: JoinHandle<()>,
}

impl Host {
    /// Serves calls for a request path.
    pub async fn start(proxy: &Arc<Proxy>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let backend = Arc::new(ProxyBackend {
            host: proxy.load().host,
            proxy: Arc::clone(proxy),
        });
        let shutdown = CancellationToken::new();
        let served = serve(listener, backend, FrontConfig::default(), shutdown.clone());
        Self {
            address,
            ended: tokio::spawn(served),
            shutdown,
        }
    }
}

#[derive(Debug)]
struct ProxyBackend {
    host: HostName,
    proxy: Arc<Proxy>,
}

/// Answer of what a host without a replica does not have.
fn absent<'a, T>() -> BoxOutcome<'a, T>
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
