use std::{collections::BTreeMap, sync::Arc, time::Duration};

use parking_lot::Mutex;
use tarragon_codes::Outcome;
use tarragon_membership::{GroupState, next_change};
use tarragon_names::{DomainName, HostName, MemberId, Millis};
use tarragon_replica::ReplicaHandle;
use tarragon_telemetry::{Event, EventSink};
use tokio::time::interval;
use tokio_util::sync::CancellationToken;

use crate::{Hello, MemberView, WorkflowLog};

/// Time between two looks at the members.
const LOOK: Duration = Duration::from_millis(250);

/// Time limit of a look or a change.
const LIMIT: Duration = Duration::from_millis(1_000);

/// Keeps the group of voters at its size while this host leads.
#[derive(Debug)]
pub(crate) struct Voters {
    pub(crate) replica: ReplicaHandle<WorkflowLog>,
    pub(crate) events: Arc<dyn EventSink>,
    pub(crate) wanted: usize,
    pub(crate) replace_after: Millis,
    announced: Mutex<BTreeMap<HostName, MemberId>>,
    domains: Mutex<BTreeMap<HostName, DomainName>>,
    present: Mutex<Vec<MemberId>>,
}

impl Voters {
    pub(crate) fn new(
        replica: ReplicaHandle<WorkflowLog>,
        events: Arc<dyn EventSink>,
        wanted: usize,
        replace_after: Millis,
    ) -> Self {
        Self {
            replica,
            events,
            wanted,
            replace_after,
            announced: Mutex::default(),
            domains: Mutex::default(),
            present: Mutex::default(),
        }
    }

    /// Takes note of a host; one with a disk becomes a learner.
    pub(crate) async fn seen(&self, hello: Hello) -> Outcome<Vec<MemberView>> {
        let members = self.replica.status(LIMIT).await?.members;
        self.domains
            .lock()
            .insert(hello.host.clone(), hello.domain.clone());
        if let Some(id) = hello.member {
            self.announced.lock().insert(hello.host.clone(), id);
            if !members.by_id.contains_key(&id) {
                let event = Event::info("learner_added").peer(hello.host.clone());
                self.events.emit(&event.detail(format!("member {id}")));
                self.replica.join(id, hello.host, LIMIT).await?;
            }
        }
        let view = |(id, member): (&MemberId, &tarragon_agreement::Member)| MemberView {
            id: *id,
            host: member.host.clone(),
        };
        Ok(members.by_id.iter().map(view).collect())
    }

    /// Identities of the voters at the last look.
    pub(crate) fn present(&self) -> Vec<MemberId> {
        self.present.lock().clone()
    }

    /// Replaces and adds voters until the stop, while `leads` tells that this host leads.
    pub(crate) async fn keep<F>(self: Arc<Self>, leads: F, stop: CancellationToken)
    where
        F: Fn() -> bool + Send,
    {
        let mut due = interval(LOOK);
        while stop.run_until_cancelled(due.tick()).await.is_some() {
            if leads() {
                self.change().await;
            }
        }
    }

    async fn change(&self) {
        let status = match self.replica.status(LIMIT).await {
            Ok(status) => status,
            Err(failure) => {
                let event = Event::warning("members_not_read").code(failure.code.number());
                self.events.emit(&event.detail(failure.cause));
                return;
            }
        };
        *self.present.lock() = status.members.voters().collect();
        let change = {
            let announced = self.announced.lock();
            let domains = self.domains.lock();
            next_change(&GroupState {
                status: &status.status,
                domains: &domains,
                announced_ids: &announced,
                target_voters: self.wanted,
                replace_after: self.replace_after,
            })
        };
        let Some(change) = change else { return };
        let detail = format!("{change:?}");
        let event = Event::warning("changing_voters");
        self.events.emit(&event.detail(detail.clone()));
        let target = change.applied_to(&status.members);
        let event = match self.replica.change_members(target, LIMIT).await {
            Ok(()) => Event::info("voters_changed"),
            Err(failure) => Event::warning("voters_not_changed").code(failure.code.number()),
        };
        self.events.emit(&event.detail(detail));
    }
}
