use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use futures::{
    FutureExt,
    future::{self, BoxFuture},
};
use tarragon_cell::{Answer, Command};
use tarragon_codes::{Code, Outcome};
use tarragon_names::{HostName, MemberId};
use tarragon_settings::HostSettings;
use tarragon_telemetry::{EventSink, Metrics};
use tarragon_wire::control::{CatalogueGrant, ControlClient, GroupView};
use tokio::time::interval;
use tokio_util::sync::CancellationToken;

use crate::{CatalogueView, ControlClients, LeaderCalls, LinkMeter, LocalLeader, WorkerGateway};
use tarragon_replica::{Clock, LeaderHint, Links};

/// State that the parts of a host share.
#[derive(Debug)]
pub struct HostCore {
    /// Settings of the host.
    pub cfg: HostSettings,
    /// Source of time.
    pub clock: Arc<dyn Clock>,
    /// Where events go.
    pub events: Arc<dyn EventSink>,
    /// Metrics of the host.
    pub metrics: Arc<Metrics>,
    /// Leader as far as it is known.
    pub hint: Arc<LeaderHint>,
    /// Clients of the other hosts.
    pub clients: Arc<ControlClients>,
    /// Calls to the leader.
    pub calls: LeaderCalls,
    /// Links to the other hosts.
    pub links: Arc<Links>,
    /// Traffic of the links.
    pub meter: Arc<LinkMeter>,
    /// This host's copy of the catalogue.
    pub view: Arc<CatalogueView>,
    /// Operations of the leader; absent on a host without a replica.
    pub leader: Option<LocalLeader>,
    /// Connected workers.
    pub gateway: Arc<WorkerGateway>,
    /// Start of this process, drawn at random.
    pub boot: u64,
    /// Jobs taken without a key.
    pub accepted: AtomicU64,
    /// Whether a planned stop has begun.
    pub stopping: AtomicBool,
}

impl HostCore {
    /// Name of this host.
    pub fn name(&self) -> &HostName {
        &self.cfg.name
    }

    /// Tells whether a planned stop has begun.
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Acquire)
    }

    /// Tells whether callers should be sent to this host.
    pub fn is_ready(&self) -> bool {
        !self.is_stopping() && self.view.fresh(self.clock.now()).is_some()
    }

    /// Gives an acceptance without a key one of its own, so that it may be repeated when its
    /// answer is lost.
    pub fn with_key(&self, command: Command) -> Command {
        match command {
            Command::AcceptJob { key: None, spec } => {
                let n = self.accepted.fetch_add(1, Ordering::Relaxed);
                let key = format!("{}/{:x}/{n}", self.name(), self.boot);
                Command::AcceptJob {
                    key: Some(key.into()),
                    spec,
                }
            }
            command => command,
        }
    }

    /// Writes a command at the leader; the command must be safe to repeat.
    pub async fn propose(&self, command: Command, limit: Duration) -> Outcome<Answer> {
        let local = |left| {
            let command = command.clone();
            self.at_local(move |leader| async move { leader.propose(command, left).await }.boxed())
        };
        let remote = |client: ControlClient, cx| {
            let command = command.clone();
            async move { client.propose(cx, command).await }.boxed()
        };
        self.calls.call(limit, local, remote).await
    }

    /// Describes the replica group, as the leader sees it.
    pub async fn group(&self, limit: Duration) -> Outcome<GroupView> {
        let local = |_| self.at_local(|leader| leader.group().boxed());
        let remote = |client: ControlClient, cx| async move { client.group(cx).await }.boxed();
        self.calls.call(limit, local, remote).await
    }

    /// Adds this host's replica to the group as a learner.
    pub async fn join(&self, id: MemberId, limit: Duration) -> Outcome<()> {
        let host = self.name();
        let local = |left| {
            let host = host.clone();
            self.at_local(move |leader| leader.join(host, id, left).boxed())
        };
        let remote = |client: ControlClient, cx| {
            let host = host.clone();
            async move { client.join(cx, host, id).await }.boxed()
        };
        self.calls.call(limit, local, remote).await
    }

    /// Runs an operation of the leader on this host.
    pub fn at_local<'a, T, F>(&'a self, run: F) -> BoxFuture<'a, Outcome<T>>
    where
        T: Send + 'a,
        F: FnOnce(&'a LocalLeader) -> BoxFuture<'a, Outcome<T>>,
    {
        match &self.leader {
            Some(leader) => run(leader),
            None => future::err(Code::NotLeader.into()).boxed(),
        }
    }

    /// Polls the leader for catalogue changes until the stop.
    pub async fn poll_catalogue(self: Arc<Self>, stop: CancellationToken) {
        let beat = Duration::from_millis(self.cfg.timing.freshness_beat.0);
        let mut due = interval(beat);
        while stop.run_until_cancelled(due.tick()).await.is_some() {
            let core = Arc::clone(&self);
            // A poll that waits for a silent leader must not hold up the next one.
            tokio::spawn(async move { core.poll_once().await });
        }
    }

    async fn poll_once(&self) {
        let poll = self.view.poll(self.clock.now());
        let limit = Duration::from_millis(self.cfg.timing.freshness_lease.0);
        let local = |_| {
            let poll = poll.clone();
            self.at_local(move |leader| async move { leader.poll(poll).await }.boxed())
        };
        let remote = |client: ControlClient, cx| {
            let poll = poll.clone();
            async move { client.poll_catalogue(cx, poll).await }.boxed()
        };
        let granted: Outcome<CatalogueGrant> = self.calls.call(limit, local, remote).await;
        if let Ok(grant) = granted {
            self.view.granted(grant);
        }
    }
}
