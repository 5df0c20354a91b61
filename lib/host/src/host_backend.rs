use std::{collections::BTreeMap, sync::Arc, time::Duration};

use futures::{
    FutureExt,
    future::{BoxFuture, join_all},
};
use tarpc::{client::RpcError, context::Context};
use tarragon_cell::{Answer, Command, Query, QueryAnswer};
use tarragon_codes::{Code, Failure, Outcome};
use tarragon_front::{Backend, BoxOutcome, HostView, ServiceCall, ServiceReply};
use tarragon_names::{ExecutorName, HostName, JobId, MemberId, Revision, Term};
use tarragon_proxy::Proxy;
use tarragon_routing::{Announcement, AnnouncementReply, ExecutorView};
use tarragon_scheduler::{Explanation, WorkerView};
use tarragon_wire::control::{ControlClient, GroupView, MemberView};

use crate::{HostCore, LocalLeader};

/// Time limit of a read.
const READ_LIMIT: Duration = Duration::from_millis(3_000);

/// Time limit of a call to each host for a list.
const LIST_LIMIT: Duration = Duration::from_millis(1_000);

/// Time limit of a change of members; the newcomer has to catch up first.
const MEMBER_LIMIT: Duration = Duration::from_millis(30_000);

/// What the HTTP interface reaches of this host and, through it, of the others.
#[derive(Debug)]
pub struct HostBackend {
    core: Arc<HostCore>,
    proxy: Arc<Proxy>,
}

impl HostBackend {
    /// A backend over the state of this host.
    pub fn new(core: Arc<HostCore>, proxy: Arc<Proxy>) -> Self {
        Self { core, proxy }
    }

    /// Makes a call at the leader.
    async fn at_leader<'a, T, L, R>(&'a self, limit: Duration, local: L, remote: R) -> Outcome<T>
    where
        T: Send + 'a,
        L: Fn(&'a LocalLeader, Duration) -> BoxOutcome<'a, T>,
        R: Fn(ControlClient, Context) -> BoxFuture<'static, Result<Outcome<T>, RpcError>>,
    {
        let at_local = |left| self.core.at_local(|leader| local(leader, left));
        self.core.calls.call(limit, at_local, remote).await
    }

    /// Counts a service request by its outcome.
    fn count(&self, outcome: &Outcome<ServiceReply>) {
        let metrics = &self.core.metrics;
        let label = match outcome {
            Ok(reply) if reply.stored => "stored",
            Ok(_) => "answered",
            Err(failure) if failure.code == Code::NotKnown => "not_known",
            Err(failure) => {
                metrics.count_refusal(failure.code.number());
                "refused"
            }
        };
        metrics.requests.with_label_values(&[label]).inc();
    }

    fn other_hosts(&self) -> Vec<HostName> {
        let hosts = self.core.cfg.hosts.iter().map(|host| &host.name);
        hosts
            .filter(|host| *host != self.core.name())
            .cloned()
            .collect()
    }

    async fn list_executors(&self) -> Vec<ExecutorView> {
        let asked = self.other_hosts().into_iter().map(|host| async move {
            let call = self
                .core
                .clients
                .call(&host, LIST_LIMIT, |client, cx| async move {
                    client.executors(cx).await
                });
            call.await.unwrap_or_default()
        });
        let mut views = join_all(asked).await.concat();
        views.extend(self.proxy.executors());
        views.sort_by(|a, b| a.name.cmp(&b.name));
        views
    }

    async fn drain(&self, name: ExecutorName, draining: bool) -> Outcome<()> {
        let mut known = self.proxy.drain_executor(&name, draining);
        for host in self.other_hosts() {
            let name = name.clone();
            let call = self
                .core
                .clients
                .call(&host, LIST_LIMIT, |client, cx| async move {
                    client.drain_executor(cx, name, draining).await
                });
            known |= call.await.unwrap_or(false);
        }
        if known {
            Ok(())
        } else {
            Err(Failure::new(
                Code::NoSuchTarget,
                format!("no host is home to {name}"),
            ))
        }
    }

    /// Tells whether a host polls the leader, or answers it as a member, or can be connected to.
    fn is_reachable(
        &self,
        host: &HostName,
        polled: Option<&(Revision, bool)>,
        member: Option<&MemberView>,
    ) -> bool {
        match (polled, member) {
            (Some((_, fresh)), _) => *fresh,
            (None, Some(member)) => member.reachable,
            (None, None) => {
                let host_dead = Duration::from_millis(self.core.cfg.timing.host_dead.0);
                !self.core.meter.is_dead(host, host_dead)
            }
        }
    }

    fn host_views(&self, group: Option<&GroupView>) -> Vec<HostView> {
        let polled: BTreeMap<&HostName, (Revision, bool)> = group
            .iter()
            .flat_map(|group| &group.hosts)
            .map(|(host, revision, fresh)| (host, (*revision, *fresh)))
            .collect();
        let view = |host: &tarragon_settings::HostAddress| {
            // A host that lost its disk has a dead member beside its new one.
            let members = group.into_iter().flat_map(|group| &group.members);
            let member = members
                .filter(|member| member.host == host.name)
                .max_by_key(|member| (member.reachable, member.voter));
            let role = match (group, member) {
                (Some(group), _) if group.leader == host.name => "leader",
                (_, Some(member)) if member.voter => "voter",
                (_, Some(_)) => "learner",
                _ => "entry",
            };
            let polled = polled.get(&host.name);
            let own = host.name == *self.core.name();
            HostView {
                name: host.name.clone(),
                domain: host.domain.clone(),
                role: role.to_owned(),
                member: member.map(|member| member.member),
                term: group.map_or(Term::default(), |group| group.term),
                synced: member.and_then(|member| member.synced),
                revision: polled.map_or(Revision::default(), |(revision, _)| *revision),
                reachable: own || self.is_reachable(&host.name, polled, member),
            }
        };
        self.core.cfg.hosts.iter().map(view).collect()
    }
}

impl Backend for HostBackend {
    fn propose(&self, command: Command, timeout: Duration) -> BoxOutcome<'_, Answer> {
        async move {
            if self.core.is_stopping() {
                return Err(Failure::of(Code::Stopping));
            }
            let answer = self
                .core
                .propose(self.core.with_key(command), timeout)
                .await;
            if answer
                .as_ref()
                .is_err_and(|failure| failure.code == Code::NotConfirmed)
            {
                self.core.metrics.unknown_outcomes.inc();
            }
            answer
        }
        .boxed()
    }

    fn query(&self, query: Query) -> BoxOutcome<'_, QueryAnswer> {
        async move {
            let remote = |client: ControlClient, cx| {
                let query = query.clone();
                async move { client.query(cx, query).await }.boxed()
            };
            let local = |leader, _| {
                let query = query.clone();
                async move { LocalLeader::query(leader, &query).await }.boxed()
            };
            self.at_leader(READ_LIMIT, local, remote).await
        }
        .boxed()
    }

    fn serve(&self, call: ServiceCall) -> BoxOutcome<'_, ServiceReply> {
        async move {
            let timer = self.core.metrics.request_time.start_timer();
            let outcome = self.proxy.serve(call).await;
            timer.observe_duration();
            self.count(&outcome);
            outcome
        }
        .boxed()
    }

    fn announce(&self, announcement: Announcement) -> Outcome<AnnouncementReply> {
        self.proxy.announce(announcement)
    }

    fn drain_executor(&self, name: ExecutorName, draining: bool) -> BoxOutcome<'_, ()> {
        self.drain(name, draining).boxed()
    }

    fn executors(&self) -> BoxOutcome<'_, Vec<ExecutorView>> {
        self.list_executors().map(Ok).boxed()
    }

    fn workers(&self) -> BoxOutcome<'_, Vec<WorkerView>> {
        self.at_leader(
            READ_LIMIT,
            |leader, _| leader.workers().boxed(),
            |client, cx| async move { client.workers(cx).await }.boxed(),
        )
        .boxed()
    }

    fn hosts(&self) -> BoxOutcome<'_, Vec<HostView>> {
        async move { Ok(self.host_views(self.core.group(READ_LIMIT).await.ok().as_ref())) }.boxed()
    }

    fn explain(&self, job: JobId) -> BoxOutcome<'_, Explanation> {
        self.at_leader(
            READ_LIMIT,
            move |leader, _| leader.explain(job).boxed(),
            move |client, cx| async move { client.explain(cx, job).await }.boxed(),
        )
        .boxed()
    }

    fn in_force(&self, revision: Revision) -> BoxOutcome<'_, bool> {
        self.at_leader(
            READ_LIMIT,
            move |leader, _| leader.in_force(revision).boxed(),
            move |client, cx| async move { client.in_force(cx, revision).await }.boxed(),
        )
        .boxed()
    }

    fn replace_member(&self, remove: MemberId, add: MemberId) -> BoxOutcome<'_, ()> {
        self.at_leader(
            MEMBER_LIMIT,
            move |leader, left| leader.replace_member(remove, add, left).boxed(),
            move |client, cx| async move { client.replace_member(cx, remove, add).await }.boxed(),
        )
        .boxed()
    }

    fn ready(&self) -> bool {
        self.core.is_ready()
    }

    fn host(&self) -> &HostName {
        self.core.name()
    }
}
