use std::{future::Future, sync::Arc, time::Duration};

use futures::StreamExt;
use tarpc::{
    context::Context,
    serde_transport::tcp,
    server::{BaseChannel, Channel},
    tokio_serde::formats::Bincode,
};
use tarragon_cell::{Answer, Command, Query, QueryAnswer};
use tarragon_codes::{Code, Failure};
use tarragon_names::{ExecutorName, HostName, JobId, MemberId, Revision, Term};
use tarragon_routing::ExecutorView;
use tarragon_scheduler::{Explanation, WorkerView};
use tarragon_wire::control::{
    CatalogueGrant, CataloguePoll, Control, ForwardedCall, ForwardedReply, GroupView,
};
use tokio_util::sync::CancellationToken;

use crate::{HostCore, LocalLeader, control_clients::MAX_FRAME};

/// Calls that one connection may have in progress.
const CALLS_PER_CONNECTION: usize = 4_096;

/// Answers the calls of other entry hosts.
#[derive(Clone, Debug)]
pub struct ControlServer {
    core: Arc<HostCore>,
}

impl ControlServer {
    /// A server on the state of this host.
    pub fn new(core: Arc<HostCore>) -> Self {
        Self { core }
    }

    /// Accepts connections until the stop.
    pub async fn run(self, stop: CancellationToken) -> std::io::Result<()> {
        let address = self.core.cfg.control;
        let mut listener = tcp::listen(address, Bincode::default).await?;
        listener.config_mut().max_frame_length(MAX_FRAME);
        while let Some(Some(accepted)) = stop.run_until_cancelled(listener.next()).await {
            let Ok(transport) = accepted else { continue };
            let calls = BaseChannel::with_defaults(transport)
                .execute(self.clone().serve())
                .for_each_concurrent(CALLS_PER_CONNECTION, |call| call);
            let stop = stop.clone();
            tokio::spawn(async move { stop.run_until_cancelled(calls).await });
        }
        Ok(())
    }

    fn leader(&self) -> Result<&LocalLeader, Failure> {
        self.core.leader.as_ref().ok_or_else(|| Failure::of(Code::NotLeader))
    }
}

/// Time that the caller still waits.
fn left(cx: &Context) -> Duration {
    cx.deadline.saturating_duration_since(std::time::Instant::now())
}

impl Control for ControlServer {
    async fn propose(self, cx: Context, command: Command) -> Result<Answer, Failure> {
        self.leader()?.propose(command, left(&cx)).await
    }

    async fn query(self, _: Context, query: Query) -> Result<QueryAnswer, Failure> {
        self.leader()?.query(&query).await
    }

    async fn poll_catalogue(
        self,
        _: Context,
        poll: CataloguePoll,
    ) -> Result<CatalogueGrant, Failure> {
        self.leader()?.poll(poll).await
    }

    async fn in_force(self, _: Context, revision: Revision) -> Result<bool, Failure> {
        self.leader()?.in_force(revision).await
    }

    async fn workers(self, _: Context) -> Result<Vec<WorkerView>, Failure> {
        self.leader()?.workers().await
    }

    async fn explain(self, _: Context, job: JobId) -> Result<Explanation, Failure> {
        self.leader()?.explain(job).await
    }

    async fn group(self, _: Context) -> Result<GroupView, Failure> {
        self.leader()?.group().await
    }

    async fn join(self, cx: Context, host: HostName, member: MemberId) -> Result<(), Failure> {
        self.leader()?.join(host, member, left(&cx)).await
    }

    async fn replace_member(
        self,
        cx: Context,
        remove: MemberId,
        add: MemberId,
    ) -> Result<(), Failure> {
        self.leader()?.replace_member(remove, add, left(&cx)).await
    }

    fn forward(
        self,
        _: Context,
        call: ForwardedCall,
    ) -> impl Future<Output = ForwardedReply> + Send {
        async move { self.core.run_forwarded(call).await }
    }

    async fn executors(self, _: Context) -> Vec<ExecutorView> {
        self.core.own_executors()
    }

    async fn drain_executor(self, _: Context, name: ExecutorName, draining: bool) -> bool {
        self.core.drain_own_executor(&name, draining)
    }

    async fn leader(self, _: Context) -> Option<(Term, HostName)> {
        self.core.hint.with_term()
    }
}
