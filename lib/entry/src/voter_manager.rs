use std::{
    collections::BTreeMap,
    sync::Arc,
    time::{Duration, Instant},
};

use parking_lot::Mutex;
use tarragon_codes::Outcome;
use tarragon_membership::{GroupState, next_change};
use tarragon_names::{DomainName, HostName, MemberId, Millis};
use tarragon_replica::ReplicaHandle;
use tarragon_telemetry::{Event, EventSink};
use tokio::time::interval;
use tokio_util::sync::CancellationToken;

use crate::{Hello, MemberView, WorkflowLog};

/// Interval between two checks of the member list.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Timeout of a read of the member list and of a change to it.
const REPLICA_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Smallest number of voters that tolerates the loss of one.
const MIN_SAFE_VOTERS: usize = 3;

/// Time for which a group with fewer voters waits for others before it commits what callers send.
const MAX_FORMING_TIME: Duration = Duration::from_secs(10);

/// Registers hosts, and replaces and adds voters while this host leads.
#[derive(Debug)]
pub(crate) struct VoterManager {
    pub(crate) replica: ReplicaHandle<WorkflowLog>,
    pub(crate) events: Arc<dyn EventSink>,
    /// Number of voters that the group should have.
    pub(crate) target_voters: usize,
    /// Silence after which a voter is replaced.
    pub(crate) replace_after: Millis,
    /// Identity of the replica that each host with a disk last announced.
    announced_ids: Mutex<BTreeMap<HostName, MemberId>>,
    domains: Mutex<BTreeMap<HostName, DomainName>>,
    /// Voters at the last check; empty before the first one.
    voters: Mutex<Vec<MemberId>>,
    /// Time at which this leader first found too few voters to tolerate a loss.
    forming_since: Mutex<Option<Instant>>,
}

impl VoterManager {
    pub(crate) fn new(
        replica: ReplicaHandle<WorkflowLog>,
        events: Arc<dyn EventSink>,
        target_voters: usize,
        replace_after: Millis,
    ) -> Self {
        Self {
            replica,
            events,
            target_voters,
            replace_after,
            announced_ids: Mutex::default(),
            domains: Mutex::default(),
            voters: Mutex::default(),
            forming_since: Mutex::default(),
        }
    }

    /// Registers a host that announced itself and returns the members of the group.
    ///
    /// A host with a disk whose replica is not a member yet joins the group as a learner.
    pub(crate) async fn register_host(&self, hello: Hello) -> Outcome<Vec<MemberView>> {
        let members = self.replica.status(REPLICA_TIMEOUT).await?.members;
        self.domains
            .lock()
            .insert(hello.host.clone(), hello.domain.clone());
        if let Some(id) = hello.member {
            self.announced_ids.lock().insert(hello.host.clone(), id);
            if !members.by_id.contains_key(&id) {
                let event = Event::info("learner_added").peer(hello.host.clone());
                self.events.emit(&event.detail(format!("member {id}")));
                self.replica.join(id, hello.host, REPLICA_TIMEOUT).await?;
            }
        }
        let view = |(id, member): (&MemberId, &tarragon_agreement::Member)| MemberView {
            id: *id,
            host: member.host.clone(),
        };
        Ok(members.by_id.iter().map(view).collect())
    }

    /// Returns the identities of the voters at the last check.
    pub(crate) fn voters(&self) -> Vec<MemberId> {
        self.voters.lock().clone()
    }

    /// Returns whether the group tolerates no loss yet and others may join it soon, because one host has
    /// formed it alone. What is committed now would be lost with a disk.
    pub(crate) async fn is_forming(&self) -> Outcome<bool> {
        if self.target_voters < MIN_SAFE_VOTERS || self.voters.lock().len() >= MIN_SAFE_VOTERS {
            return Ok(false);
        }
        let members = self.replica.status(REPLICA_TIMEOUT).await?.members;
        if members.voters().count() >= MIN_SAFE_VOTERS {
            return Ok(false);
        }
        let mut since = self.forming_since.lock();
        Ok(since.get_or_insert_with(Instant::now).elapsed() < MAX_FORMING_TIME)
    }

    /// Checks the voters once per interval until `stop` is cancelled; skips the check while
    /// `is_leader` returns false.
    pub(crate) async fn run<F>(self: Arc<Self>, is_leader: F, stop: CancellationToken)
    where
        F: Fn() -> bool + Send,
    {
        let mut ticks = interval(CHECK_INTERVAL);
        while stop.run_until_cancelled(ticks.tick()).await.is_some() {
            if is_leader() {
                self.change_voters().await;
            }
        }
    }

    /// Applies the next change to the voters, if one is needed.
    async fn change_voters(&self) {
        let status = match self.replica.status(REPLICA_TIMEOUT).await {
            Ok(status) => status,
            Err(failure) => {
                let event = Event::warning("members_not_read").code(failure.code.number());
                self.events.emit(&event.detail(failure.cause));
                return;
            }
        };
        *self.voters.lock() = status.members.voters().collect();
        let change = {
            let announced_ids = self.announced_ids.lock();
            let domains = self.domains.lock();
            next_change(&GroupState {
                status: &status.member_status,
                domains: &domains,
                announced_ids: &announced_ids,
                target_voters: self.target_voters,
                replace_after: self.replace_after,
            })
        };
        let Some(change) = change else { return };
        let detail = format!("{change:?}");
        let event = Event::warning("changing_voters");
        self.events.emit(&event.detail(detail.clone()));
        let target = change.applied_to(&status.members);
        let event = match self.replica.change_members(target, REPLICA_TIMEOUT).await {
            Ok(()) => Event::info("voters_changed"),
            Err(failure) => Event::warning("voters_not_changed").code(failure.code.number()),
        };
        self.events.emit(&event.detail(detail));
    }
}
