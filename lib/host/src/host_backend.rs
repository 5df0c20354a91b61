use std::{collections::BTreeMap, sync::Arc, time::Duration};

use futures::{
    FutureExt,
    future::{BoxFuture, join_all},
};
use tarpc::{client::RpcError, context::Context};
use tarragon_cell::{Answer, Command, Query, QueryAnswer};
use tarragon_codes::{Code, Failure, Outcome};
use tarragon_front::{BoxOutcome, HostApi, HostView, ServiceCall, ServiceReply};
use tarragon_names::{ExecutorName, HostName, JobId, MemberId, Revision, Term};
use tarragon_proxy::Proxy;
use tarragon_routing::{Announcement, AnnouncementReply, ExecutorView};
use tarragon_scheduler::{Explanation, WorkerView};
use tarragon_wire::control::{ControlClient, GroupView, MemberView};

use crate::{HostCore, LocalLeader};

/// Timeout of a read at the leader.
const READ_TIMEOUT: Duration = Duration::from_millis(3_000);

/// Timeout of a call to another host that lists or drains its executors.
const EXECUTOR_CALL_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Timeout of a change of members; the new voter has to catch up with the log first.
const MEMBER_CHANGE_TIMEOUT: Duration = Duration::from_millis(30_000);

/// `HostApi` of the HTTP interface, which answers from this host and by calls to the other hosts.
#[derive(Debug)]
pub struct HostBackend {
    core: Arc<HostCore>,
    proxy: Arc<Proxy>,
}

impl HostBackend {
    /// Creates a backend over the state and the request path of this host.
    pub fn new(core: Arc<HostCore>, proxy: Arc<Proxy>) -> Self {
        Self { core, proxy }
    }

    /// Calls the leader: `local` if this host leads, otherwise `remote`.
    async fn call_leader<'a, T, L, R>(
        &'a self,
        timeout: Duration,
        local: L,
        remote: R,
    ) -> Outcome<T>
    where
        T: Send + 'a,
        L: Fn(&'a LocalLeader, Duration) -> BoxOutcome<'a, T>,
        R: Fn(ControlClient, Context) -> BoxFuture<'static, Result<Outcome<T>, RpcError>>,
    {
        let call_local = |remaining| {
            self.core
                .with_local_leader(|leader| local(leader, remaining))
        };
        self.core
            .leader_client
            .call(timeout, call_local, remote)
            .await
    }

    /// Counts a service request under the label of its outcome.
    fn count_request(&self, outcome: &Outcome<ServiceReply>) {
        let metrics = &self.core.metrics;
        let label = match outcome {
            Ok(reply) if reply.stored => "stored",
            Ok(_) => "answered",
            Err(failure) if failure.code == Code::OutcomeUnknown => "not_known",
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
        let calls = self.other_hosts().into_iter().map(|host| async move {
            let call =
                self.core
                    .clients
                    .call(&host, EXECUTOR_CALL_TIMEOUT, |client, cx| async move {
                        client.executors(cx).await
                    });
            call.await.unwrap_or_default()
        });
        let mut views = join_all(calls).await.concat();
        views.extend(self.proxy.executors());
        views.sort_by(|a, b| a.name.cmp(&b.name));
        views
    }

    async fn set_executor_draining(&self, name: ExecutorName, draining: bool) -> Outcome<()> {
        let mut is_found = self.proxy.drain_executor(&name, draining);
        for host in self.other_hosts() {
            let name = name.clone();
            let call =
                self.core
                    .clients
                    .call(&host, EXECUTOR_CALL_TIMEOUT, |client, cx| async move {
                        client.drain_executor(cx, name, draining).await
                    });
            is_found |= call.await.unwrap_or(false);
        }
        if is_found {
            Ok(())
        } else {
            Err(Failure::new(
                Code::NoSuchTarget,
                format!("no host is the home host of {name}"),
            ))
        }
    }

    /// Returns whether a host is reachable: by its last poll if it polled the leader, else by its
    /// answers to the leader if it is a member, else by the connections from this host to it.
    fn is_reachable(
        &self,
        host: &HostName,
        last_poll: Option<&(Revision, bool)>,
        member: Option<&MemberView>,
    ) -> bool {
        match (last_poll, member) {
            (Some((_, is_recent)), _) => *is_recent,
            (None, Some(member)) => member.is_reachable,
            (None, None) => {
                let host_dead = Duration::from_millis(self.core.cfg.timing.host_dead_after.0);
                !self.core.link_meter.is_dead(host, host_dead)
            }
        }
    }

    fn host_views(&self, group: Option<&GroupView>) -> Vec<HostView> {
        let polls: BTreeMap<&HostName, (Revision, bool)> = group
            .iter()
            .flat_map(|group| &group.hosts)
            .map(|(host, revision, is_recent)| (host, (*revision, *is_recent)))
            .collect();
        let view = |host: &tarragon_settings::HostAddress| {
            // A host that lost its disk has two members: the old one, which does not answer, and
            // the new one.
            let members = group.into_iter().flat_map(|group| &group.members);
            let member = members
                .filter(|member| member.host == host.name)
                .max_by_key(|member| (member.is_reachable, member.is_voter));
            let role = match (group, member) {
                (Some(group), _) if group.leader == host.name => "leader",
                (_, Some(member)) if member.is_voter => "voter",
                (_, Some(_)) => "learner",
                _ => "entry",
            };
            let last_poll = polls.get(&host.name);
            let is_own_host = host.name == *self.core.name();
            HostView {
                name: host.name.clone(),
                domain: host.domain.clone(),
                role: role.to_owned(),
                member: member.map(|member| member.member),
                term: group.map_or(Term::default(), |group| group.term),
                synced: member.and_then(|member| member.synced_index),
                revision: last_poll.map_or(Revision::default(), |(revision, _)| *revision),
                reachable: is_own_host || self.is_reachable(&host.name, last_poll, member),
            }
        };
        self.core.cfg.hosts.iter().map(view).collect()
    }
}

impl HostApi for HostBackend {
    fn propose(&self, command: Command, timeout: Duration) -> BoxOutcome<'_, Answer> {
        async move {
            if self.core.is_stopping() {
                return Err(Failure::of(Code::Stopping));
            }
            let answer = self
                .core
                .propose(self.core.with_generated_key(command), timeout)
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
            self.call_leader(READ_TIMEOUT, local, remote).await
        }
        .boxed()
    }

    fn serve(&self, call: ServiceCall) -> BoxOutcome<'_, ServiceReply> {
        async move {
            let timer = self.core.metrics.request_time.start_timer();
            let outcome = self.proxy.serve(call).await;
            timer.observe_duration();
            self.count_request(&outcome);
            outcome
        }
        .boxed()
    }

    fn announce(&self, announcement: Announcement) -> Outcome<AnnouncementReply> {
        self.proxy.announce(announcement)
    }

    fn drain_executor(&self, name: ExecutorName, draining: bool) -> BoxOutcome<'_, ()> {
        self.set_executor_draining(name, draining).boxed()
    }

    fn executors(&self) -> BoxOutcome<'_, Vec<ExecutorView>> {
        self.list_executors().map(Ok).boxed()
    }

    fn workers(&self) -> BoxOutcome<'_, Vec<WorkerView>> {
        self.call_leader(
            READ_TIMEOUT,
            |leader, _| leader.workers().boxed(),
            |client, cx| async move { client.workers(cx).await }.boxed(),
        )
        .boxed()
    }

    fn hosts(&self) -> BoxOutcome<'_, Vec<HostView>> {
        async move { Ok(self.host_views(self.core.group(READ_TIMEOUT).await.ok().as_ref())) }
            .boxed()
    }

    fn explain(&self, job: JobId) -> BoxOutcome<'_, Explanation> {
        self.call_leader(
            READ_TIMEOUT,
            move |leader, _| leader.explain(job).boxed(),
            move |client, cx| async move { client.explain(cx, job).await }.boxed(),
        )
        .boxed()
    }

    fn is_in_force(&self, revision: Revision) -> BoxOutcome<'_, bool> {
        self.call_leader(
            READ_TIMEOUT,
            move |leader, _| leader.in_force(revision).boxed(),
            move |client, cx| async move { client.in_force(cx, revision).await }.boxed(),
        )
        .boxed()
    }

    fn replace_member(&self, remove: MemberId, add: MemberId) -> BoxOutcome<'_, ()> {
        self.call_leader(
            MEMBER_CHANGE_TIMEOUT,
            move |leader, remaining| leader.replace_member(remove, add, remaining).boxed(),
            move |client, cx| async move { client.replace_member(cx, remove, add).await }.boxed(),
        )
        .boxed()
    }

    fn is_ready(&self) -> bool {
        self.core.is_ready()
    }

    fn host_name(&self) -> &HostName {
        self.core.name()
    }
}
