use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use futures::StreamExt;
use tarpc::{
    context::Context,
    serde_transport,
    server::{BaseChannel, Channel},
    tokio_serde::formats::Bincode,
};
use tarragon_cell::{Answer, Command, Query, QueryAnswer};
use tarragon_codes::{Code, Failure};
use tarragon_front::ServiceCall;
use tarragon_names::{ExecutorName, HostName, JobId, MemberId, Revision, Term};
use tarragon_proxy::{ForwardReply, Proxy};
use tarragon_routing::ExecutorView;
use tarragon_scheduler::{Explanation, WorkerView};
use tarragon_wire::control::{
    CatalogueGrant, CataloguePoll, Control, ForwardedCall, ForwardedReply, GroupView,
};
use tokio::net::TcpListener;
use tokio_util::{codec::LengthDelimitedCodec, sync::CancellationToken};

use crate::{
    HostCore, LocalLeader, control_clients::MAX_CONTROL_FRAME_BYTES, metered_stream::MeteredStream,
};

/// Maximum number of calls in progress on one connection.
const MAX_CALLS_PER_CONNECTION: usize = 4_096;

/// Server for the calls of other entry hosts.
#[derive(Clone, Debug)]
pub struct ControlServer {
    core: Arc<HostCore>,
    proxy: Arc<Proxy>,
}

impl ControlServer {
    /// Creates a server over the state and the request path of this host.
    pub fn new(core: Arc<HostCore>, proxy: Arc<Proxy>) -> Self {
        Self { core, proxy }
    }

    /// Accepts connections until `stop` is cancelled.
    pub async fn run(self, listener: TcpListener, stop: CancellationToken) {
        while let Some(accepted) = stop.run_until_cancelled(listener.accept()).await {
            let Ok((stream, _)) = accepted else { continue };
            let Ok(()) = stream.set_nodelay(true) else {
                continue;
            };
            let stream = MeteredStream::new(stream, None, Arc::clone(&self.core.link_meter));
            let framed = LengthDelimitedCodec::builder()
                .max_frame_length(MAX_CONTROL_FRAME_BYTES)
                .new_framed(stream);
            let transport = serde_transport::new(framed, Bincode::default());
            let calls = BaseChannel::with_defaults(transport)
                .execute(self.clone().serve())
                .for_each_concurrent(MAX_CALLS_PER_CONNECTION, |call| call);
            let stop = stop.clone();
            tokio::spawn(async move { stop.run_until_cancelled(calls).await });
        }
    }

    fn local_leader(&self) -> Result<&LocalLeader, Failure> {
        self.core
            .local_leader
            .as_ref()
            .ok_or_else(|| Failure::of(Code::NotLeader))
    }
}

/// Returns how long the caller still waits.
fn time_remaining(cx: &Context) -> Duration {
    cx.deadline
        .saturating_duration_since(std::time::Instant::now())
}

impl Control for ControlServer {
    async fn propose(self, context: Context, command: Command) -> Result<Answer, Failure> {
        self.local_leader()?
            .propose(command, time_remaining(&context))
            .await
    }

    async fn query(self, _: Context, query: Query) -> Result<QueryAnswer, Failure> {
        self.local_leader()?.query(&query).await
    }

    async fn poll_catalogue(
        self,
        _: Context,
        poll: CataloguePoll,
    ) -> Result<CatalogueGrant, Failure> {
        self.local_leader()?.poll(poll).await
    }

    async fn in_force(self, _: Context, revision: Revision) -> Result<bool, Failure> {
        self.local_leader()?.in_force(revision).await
    }

    async fn workers(self, _: Context) -> Result<Vec<WorkerView>, Failure> {
        self.local_leader()?.workers().await
    }

    async fn explain(self, _: Context, job: JobId) -> Result<Explanation, Failure> {
        self.local_leader()?.explain(job).await
    }

    async fn group(self, _: Context) -> Result<GroupView, Failure> {
        self.local_leader()?.group().await
    }

    async fn join(self, context: Context, host: HostName, member: MemberId) -> Result<(), Failure> {
        self.local_leader()?
            .join(host, member, time_remaining(&context))
            .await
    }

    async fn replace_member(
        self,
        context: Context,
        remove: MemberId,
        add: MemberId,
    ) -> Result<(), Failure> {
        self.local_leader()?
            .replace_member(remove, add, time_remaining(&context))
            .await
    }

    async fn forward(self, _: Context, call: ForwardedCall) -> ForwardedReply {
        let request = call.request;
        let timeout = Duration::from_millis(call.timeout_ms);
        let call = ServiceCall {
            name: call.name,
            key: call.key,
            timeout_ms: Some(call.timeout_ms),
            body: Bytes::copy_from_slice(&call.body),
        };
        match self.proxy.serve_forwarded(call, timeout).await {
            ForwardReply::Answered(reply) => ForwardedReply::Answered {
                request,
                status: reply.status,
                content_type: reply.content_type,
                body: Arc::from(&*reply.body),
            },
            ForwardReply::NotSent(failure) => ForwardedReply::NotSent(failure),
            ForwardReply::Lost(failure) => ForwardedReply::Unknown(failure),
        }
    }

    async fn executors(self, _: Context) -> Vec<ExecutorView> {
        self.proxy.executors()
    }

    async fn drain_executor(self, _: Context, name: ExecutorName, draining: bool) -> bool {
        self.proxy.drain_executor(&name, draining)
    }

    async fn leader(self, _: Context) -> Option<(Term, HostName)> {
        self.core.leader_hint.with_term()
    }
}
