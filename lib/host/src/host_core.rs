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
use tarragon_discovery::LeaderHint;
use tarragon_names::{HostName, MemberId};
use tarragon_settings::HostSettings;
use tarragon_telemetry::{EventSink, Metrics};
use tarragon_wire::control::{CatalogueGrant, ControlClient, GroupView};
use tokio::time::interval;
use tokio_util::sync::CancellationToken;

use crate::{CatalogueView, ControlClients, LeaderClient, LinkMeter, LocalLeader, WorkerGateway};
use tarragon_replica::{Clock, Links};

/// State shared by the parts of an entry host.
#[derive(Debug)]
pub struct HostCore {
    /// Settings read at the start of the process.
    pub cfg: HostSettings,
    /// Clock of this host, with monotonic and wall time.
    pub clock: Arc<dyn Clock>,
    /// Receives the events of all parts of the host.
    pub events: Arc<dyn EventSink>,
    /// Metrics shown on the metrics page.
    pub metrics: Arc<Metrics>,
    /// Last known leader, according to this host's replica or to another host.
    pub leader_hint: Arc<LeaderHint>,
    /// Clients for calls to the other hosts.
    pub clients: Arc<ControlClients>,
    /// Client for calls to whichever host leads.
    pub leader_client: LeaderClient,
    /// Links for messages to the other hosts, which may be lost.
    pub links: Arc<Links>,
    /// Counters of the traffic with other hosts and with workers.
    pub link_meter: Arc<LinkMeter>,
    /// Copy of the catalogue that this host decides by.
    pub catalogue_view: Arc<CatalogueView>,
    /// Operations that succeed only while this host leads; `None` on a host without a replica.
    pub local_leader: Option<LocalLeader>,
    /// Connections of the workers that use this host as their gateway.
    pub gateway: Arc<WorkerGateway>,
    /// Random number drawn at the start of the process, which identifies this run of it.
    pub boot: u64,
    /// Number in the next key that is generated for a job submitted without one.
    pub next_key_number: AtomicU64,
    /// Set when a planned stop begins, and never cleared.
    pub stop_requested: AtomicBool,
}

impl HostCore {
    /// Name of this host.
    pub fn name(&self) -> &HostName {
        &self.cfg.name
    }

    /// Returns whether a planned stop has begun.
    pub fn is_stopping(&self) -> bool {
        self.stop_requested.load(Ordering::Acquire)
    }

    /// Returns whether a load balancer should send callers to this host.
    pub fn is_ready(&self) -> bool {
        !self.is_stopping() && self.catalogue_view.fresh(self.clock.now()).is_some()
    }

    /// Adds a generated key to a [`Command::AcceptJob`] without one, so that the command is safe
    /// to repeat when its answer is lost.
    pub fn with_generated_key(&self, command: Command) -> Command {
        match command {
            Command::AcceptJob { key: None, spec } => {
                let n = self.next_key_number.fetch_add(1, Ordering::Relaxed);
                let key = format!("{}/{:x}/{n}", self.name(), self.boot);
                Command::AcceptJob {
                    key: Some(key.into()),
                    spec,
                }
            }
            command => command,
        }
    }

    /// Writes a command to the log at the leader; the command must be safe to repeat.
    pub async fn propose(&self, command: Command, timeout: Duration) -> Outcome<Answer> {
        let local = |remaining| {
            let command = command.clone();
            self.with_local_leader(move |leader| {
                async move { leader.propose(command, remaining).await }.boxed()
            })
        };
        let remote = |client: ControlClient, cx| {
            let command = command.clone();
            async move { client.propose(cx, command).await }.boxed()
        };
        if matches!(command, Command::AcceptJob { .. }) {
            self.leader_client.submit(timeout, local, remote).await
        } else {
            self.leader_client.call(timeout, local, remote).await
        }
    }

    /// Describes the replica group as the leader knows it.
    pub async fn group(&self, timeout: Duration) -> Outcome<GroupView> {
        let local = |_| self.with_local_leader(|leader| leader.group().boxed());
        let remote = |client: ControlClient, cx| async move { client.group(cx).await }.boxed();
        self.leader_client.call(timeout, local, remote).await
    }

    /// Adds this host's replica to the group as a learner.
    pub async fn join(&self, id: MemberId, timeout: Duration) -> Outcome<()> {
        let host = self.name();
        let local = |remaining| {
            let host = host.clone();
            self.with_local_leader(move |leader| leader.join(host, id, remaining).boxed())
        };
        let remote = |client: ControlClient, cx| {
            let host = host.clone();
            async move { client.join(cx, host, id).await }.boxed()
        };
        self.leader_client.call(timeout, local, remote).await
    }

    /// Runs an operation of the leader on this host; fails with `NotLeader` on a host without a
    /// replica.
    pub fn with_local_leader<'a, T, F>(&'a self, operation: F) -> BoxFuture<'a, Outcome<T>>
    where
        T: Send + 'a,
        F: FnOnce(&'a LocalLeader) -> BoxFuture<'a, Outcome<T>>,
    {
        match &self.local_leader {
            Some(leader) => operation(leader),
            None => future::err(Code::NotLeader.into()).boxed(),
        }
    }

    /// Polls the leader for catalogue changes until `stop` is cancelled.
    pub async fn poll_catalogue(self: Arc<Self>, stop: CancellationToken) {
        let poll_interval = Duration::from_millis(self.cfg.timing.catalogue_poll_interval.0);
        let mut due = interval(poll_interval);
        while stop.run_until_cancelled(due.tick()).await.is_some() {
            let core = Arc::clone(&self);
            // A poll that waits for an unresponsive leader must not delay the next one.
            tokio::spawn(async move { core.poll_catalogue_once().await });
        }
    }

    async fn poll_catalogue_once(&self) {
        let poll = self.catalogue_view.start_poll(self.clock.now());
        let timeout = Duration::from_millis(self.cfg.timing.freshness_lease.0);
        let local = |_| {
            let poll = poll.clone();
            self.with_local_leader(move |leader| async move { leader.poll(poll).await }.boxed())
        };
        let remote = |client: ControlClient, cx| {
            let poll = poll.clone();
            async move { client.poll_catalogue(cx, poll).await }.boxed()
        };
        let granted: Outcome<CatalogueGrant> =
            self.leader_client.call(timeout, local, remote).await;
        if let Ok(grant) = granted {
            self.catalogue_view.apply_grant(grant);
        }
    }
}
