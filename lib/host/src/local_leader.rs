use std::{sync::Arc, time::Duration};

use tarragon_agreement::{Member, MemberStatus, Role};
use tarragon_cell::{Answer, Cell, Command, Query, QueryAnswer};
use tarragon_codes::{Code, Failure, Outcome};
use tarragon_names::{HostName, JobId, MemberId, Millis, Revision};
use tarragon_scheduler::{Explanation, WorkerView};
use tarragon_telemetry::Metrics;
use tarragon_wire::control::{CatalogueGrant, CataloguePoll, GroupView, MemberView};

use crate::{CellLog, CellTime, PollTable, SchedulerHandle};
use tarragon_replica::ReplicaHandle;

/// Time since the last answer after which a member is shown as unreachable.
const UNREACHABLE: Millis = Millis(3_000);

/// Time for a read at the own replica; with a valid leader lease it takes one turn of its thread.
const READ_LIMIT: Duration = Duration::from_millis(1_000);

/// What only the leading host answers.
///
/// Each operation fails with `NotLeader` on a host that does not lead, before it has any effect.
#[derive(Debug)]
pub struct LocalLeader {
    host: HostName,
    replica: ReplicaHandle<CellLog>,
    cell: Arc<Cell>,
    scheduler: SchedulerHandle,
    time: Arc<CellTime>,
    polls: Arc<PollTable>,
    metrics: Arc<Metrics>,
}

impl LocalLeader {
    /// Operations on the replica of this host.
    pub fn new(
        host: HostName,
        replica: ReplicaHandle<CellLog>,
        cell: Arc<Cell>,
        scheduler: SchedulerHandle,
        time: Arc<CellTime>,
        polls: Arc<PollTable>,
        metrics: Arc<Metrics>,
    ) -> Self {
        Self {
            host,
            replica,
            cell,
            scheduler,
            time,
            polls,
            metrics,
        }
    }

    /// Writes a command.
    pub async fn propose(&self, command: Command, limit: Duration) -> Outcome<Answer> {
        let _timer = self.metrics.commit_time.start_timer();
        self.replica.propose(self.time.now(), command, limit).await
    }

    /// Reads the state, up to date with everything committed before the call.
    pub async fn query(&self, query: &Query) -> Outcome<QueryAnswer> {
        self.replica.read(READ_LIMIT).await?;
        Ok(self.cell.query(query))
    }

    /// Answers a poll for catalogue changes.
    ///
    /// The permission to read comes after the poll, so the grant covers all that was committed
    /// when the host sent it.
    pub async fn poll(&self, poll: CataloguePoll) -> Outcome<CatalogueGrant> {
        let answer = self.query(&Query::EntriesSince(poll.revision)).await?;
        let QueryAnswer::Entries { entries, revision } = answer else {
            return Err(Failure::of(Code::Internal));
        };
        let term = self.polls.polled(poll.host, poll.revision)?;
        Ok(CatalogueGrant {
            clock: poll.clock,
            term,
            revision,
            entries,
        })
    }

    /// Tells whether a catalogue revision is in force everywhere.
    pub async fn in_force(&self, revision: Revision) -> Outcome<bool> {
        self.replica.read(READ_LIMIT).await?;
        let committed = self.cell.catalogue().revision();
        if revision > committed {
            return Err(Failure::new(
                Code::RevisionConflict,
                format!("the catalogue is at revision {committed}"),
            ));
        }
        Ok(self.polls.in_force(committed)? >= revision)
    }

    /// Lists workers.
    pub async fn workers(&self) -> Outcome<Vec<WorkerView>> {
        self.replica.read(READ_LIMIT).await?;
        self.scheduler.workers().await
    }

    /// Says why a job is in its state.
    pub async fn explain(&self, job: JobId) -> Outcome<Explanation> {
        self.replica.read(READ_LIMIT).await?;
        self.scheduler.explain(job).await
    }

    /// Describes the replica group.
    pub async fn group(&self) -> Outcome<GroupView> {
        self.replica.read(READ_LIMIT).await?;
        let status = self.replica.status(READ_LIMIT).await?;
        let members = status
            .status
            .into_iter()
            .map(|member| MemberView {
                reachable: member.id == status.id
                    || member.silent_for.is_some_and(|silent| silent < UNREACHABLE),
                host: member.host,
                member: member.id,
                voter: member.role == Role::Voter,
                synced: member.match_index,
            })
            .collect();
        Ok(GroupView {
            leader: self.host.clone(),
            term: status.term,
            members,
            hosts: self.polls.hosts(),
        })
    }

    /// State of each member as this leader knows it.
    pub async fn member_status(&self) -> Outcome<Vec<MemberStatus>> {
        self.replica.read(READ_LIMIT).await?;
        Ok(self.replica.status(READ_LIMIT).await?.status)
    }

    /// Adds a learner.
    pub async fn join(&self, host: HostName, member: MemberId, limit: Duration) -> Outcome<()> {
        self.replica.join(member, host, limit).await
    }

    /// Makes a learner a voter in place of another member.
    pub async fn replace_member(
        &self,
        remove: MemberId,
        add: MemberId,
        limit: Duration,
    ) -> Outcome<()> {
        let mut members = self.replica.status(READ_LIMIT).await?.members;
        let unknown = |id: MemberId| {
            Failure::new(
                Code::NoSuchTarget,
                format!("no member with the identity {id}"),
            )
        };
        let Member { host, .. } = members
            .by_id
            .get(&add)
            .cloned()
            .ok_or_else(|| unknown(add))?;
        // A repeat after a lost answer finds the change made.
        if !members.by_id.contains_key(&remove) && members.is_voter(add) {
            return Ok(());
        }
        if !members.by_id.contains_key(&remove) {
            return Err(unknown(remove));
        }
        // Otherwise the group would grow or shrink instead of changing one voter for another.
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
        self.replica.change_members(members, limit).await
    }
}
