use std::{sync::Arc, time::Duration};

use tarragon_agreement::{Member, MemberStatus, Role};
use tarragon_cell::{Answer, Cell, Command, Query, QueryAnswer};
use tarragon_codes::{Code, Failure, Outcome};
use tarragon_names::{HostName, JobId, MemberId, Millis, Revision};
use tarragon_scheduler::{Explanation, WorkerView};
use tarragon_telemetry::Metrics;
use tarragon_wire::control::{CatalogueGrant, CataloguePoll, GroupView, MemberView};

use crate::{CellClock, CellStateMachine, PollTable, SchedulerHandle};
use tarragon_replica::ReplicaHandle;

/// Time since a member's last answer after which it is shown as unreachable.
const UNREACHABLE_AFTER: Millis = Millis(3_000);

/// Timeout of a read at this host's replica. With a valid leader lease, a read takes one iteration
/// of the replica's thread.
const READ_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Operations that only the leader answers.
///
/// On a host that does not lead, each operation fails with `NotLeader` before it has any effect.
#[derive(Debug)]
pub struct LocalLeader {
    host: HostName,
    replica: ReplicaHandle<CellStateMachine>,
    cell: Arc<Cell>,
    scheduler: SchedulerHandle,
    cell_clock: Arc<CellClock>,
    polls: Arc<PollTable>,
    metrics: Arc<Metrics>,
}

impl LocalLeader {
    /// Creates the operations on the replica and the scheduler of `host`, which is this host.
    pub fn new(
        host: HostName,
        replica: ReplicaHandle<CellStateMachine>,
        cell: Arc<Cell>,
        scheduler: SchedulerHandle,
        cell_clock: Arc<CellClock>,
        polls: Arc<PollTable>,
        metrics: Arc<Metrics>,
    ) -> Self {
        Self {
            host,
            replica,
            cell,
            scheduler,
            cell_clock,
            polls,
            metrics,
        }
    }

    /// Writes a command to the log and returns the result of applying it.
    pub async fn propose(&self, command: Command, timeout: Duration) -> Outcome<Answer> {
        let _timer = self.metrics.commit_time.start_timer();
        self.replica
            .propose(self.cell_clock.now(), command, timeout)
            .await
    }

    /// Reads the replicated state, which then contains everything committed before the call.
    pub async fn query(&self, query: &Query) -> Outcome<QueryAnswer> {
        self.replica.read(READ_TIMEOUT).await?;
        Ok(self.cell.query(query))
    }

    /// Answers a poll for catalogue changes.
    ///
    /// The replica confirms the read after the poll arrived, so the grant covers everything that
    /// was committed when the host sent the poll.
    pub async fn poll(&self, poll: CataloguePoll) -> Outcome<CatalogueGrant> {
        let answer = self.query(&Query::EntriesSince(poll.revision)).await?;
        let QueryAnswer::Entries { entries, revision } = answer else {
            return Err(Failure::of(Code::Internal));
        };
        let term = self.polls.record_poll(poll.host, poll.revision)?;
        Ok(CatalogueGrant {
            echoed_clock: poll.host_clock,
            term,
            revision,
            entries,
        })
    }

    /// Returns whether no host can still decide by a catalogue older than `revision`.
    ///
    /// Fails with `RevisionConflict` if the revision is not committed yet.
    pub async fn in_force(&self, revision: Revision) -> Outcome<bool> {
        self.replica.read(READ_TIMEOUT).await?;
        let committed = self.cell.catalogue().revision();
        if revision > committed {
            return Err(Failure::new(
                Code::RevisionConflict,
                format!("the catalogue is at revision {committed}"),
            ));
        }
        Ok(self.polls.in_force(committed)? >= revision)
    }

    /// Lists the workers known to the scheduler.
    pub async fn workers(&self) -> Outcome<Vec<WorkerView>> {
        self.replica.read(READ_TIMEOUT).await?;
        self.scheduler.workers().await
    }

    /// Explains why a job is in its state.
    pub async fn explain(&self, job: JobId) -> Outcome<Explanation> {
        self.replica.read(READ_TIMEOUT).await?;
        self.scheduler.explain(job).await
    }

    /// Describes the replica group and the hosts that poll this leader.
    pub async fn group(&self) -> Outcome<GroupView> {
        self.replica.read(READ_TIMEOUT).await?;
        let status = self.replica.status(READ_TIMEOUT).await?;
        let members = status
            .member_status
            .into_iter()
            .map(|member| MemberView {
                is_reachable: member.id == status.id
                    || member
                        .silent_for
                        .is_some_and(|silent| silent < UNREACHABLE_AFTER),
                host: member.host,
                member: member.id,
                is_voter: member.role == Role::Voter,
                synced_index: member.match_index,
            })
            .collect();
        Ok(GroupView {
            leader: self.host.clone(),
            term: status.term,
            members,
            hosts: self.polls.hosts(),
        })
    }

    /// Returns the state of each member as this leader knows it.
    pub async fn member_status(&self) -> Outcome<Vec<MemberStatus>> {
        self.replica.read(READ_TIMEOUT).await?;
        Ok(self.replica.status(READ_TIMEOUT).await?.member_status)
    }

    /// Adds the replica `member` on `host` to the group as a learner.
    pub async fn join(&self, host: HostName, member: MemberId, timeout: Duration) -> Outcome<()> {
        self.replica.join(member, host, timeout).await
    }

    /// Makes the learner `add` a voter in place of the voter `remove`, which leaves the group.
    pub async fn replace_member(
        &self,
        remove: MemberId,
        add: MemberId,
        timeout: Duration,
    ) -> Outcome<()> {
        let mut members = self.replica.status(READ_TIMEOUT).await?.members;
        let unknown = |id: MemberId| {
            Failure::new(
                Code::NoSuchTarget,
                format!("no member has the identity {id}"),
            )
        };
        let Member { host, .. } = members
            .by_id
            .get(&add)
            .cloned()
            .ok_or_else(|| unknown(add))?;
        // A call that is repeated after a lost answer finds the change already made.
        if !members.by_id.contains_key(&remove) && members.is_voter(add) {
            return Ok(());
        }
        if !members.by_id.contains_key(&remove) {
            return Err(unknown(remove));
        }
        // With other roles the change would add or remove a voter instead of replacing one.
        if !members.is_voter(remove) || members.is_voter(add) {
            return Err(Failure::new(
                Code::Malformed,
                format!("{remove} must be a voter and {add} a learner"),
            ));
        }
        members.by_id.remove(&remove);
        members.by_id.insert(
            add,
            Member {
                host,
                role: Role::Voter,
            },
        );
        self.replica.change_members(members, timeout).await
    }
}
