use std::{sync::Arc, thread::JoinHandle, time::Duration};

use tarragon_agreement::{Config, Replica};
use tarragon_cell::Cell;
use tarragon_codes::Outcome;
use tarragon_discovery::LeaderHint;
use tarragon_names::{LogIndex, MemberId};
use tarragon_placement::{IndexedPlacer, PolicyWeights};
use tarragon_scheduler::{Scheduler, SchedulerConfig};
use tarragon_settings::HostSettings;
use tarragon_storage::LogStore;
use tarragon_telemetry::{Event, EventSink, Metrics};
use tokio::time::interval;
use tokio_util::sync::CancellationToken;

use crate::{
    CellClock, CellStateMachine, HostCore, LeaderSink, LocalLeader, OrderRoutes, PollTable,
    ReplicaEndpoint, SchedulerHandle, SchedulerLoop, SchedulerParts, replica_disk::open_replica,
};
use tarragon_replica::{Clock, Links, ReplicaDriver, ReplicaParts, StateLimits, StateMachine};

/// Interval between checks that this replica is a member; also the timeout of a check's calls.
const MEMBERSHIP_CHECK_INTERVAL: Duration = Duration::from_millis(2_000);

/// Threads of the replica and the scheduler of a host, with access to both.
#[derive(Debug)]
pub(crate) struct ReplicaRuntime {
    pub(crate) endpoint: ReplicaEndpoint,
    cell: Arc<Cell>,
    polls: Arc<PollTable>,
    cell_clock: Arc<CellClock>,
    threads: Vec<JoinHandle<()>>,
}

/// Parts of the host that the replica and the scheduler use.
pub(crate) struct ReplicaDependencies<'a> {
    pub(crate) cfg: &'a HostSettings,
    pub(crate) clock: &'a Arc<dyn Clock>,
    pub(crate) links: &'a Arc<Links>,
    pub(crate) leader_hint: &'a Arc<LeaderHint>,
    pub(crate) routes: &'a Arc<OrderRoutes>,
    pub(crate) events: &'a Arc<dyn EventSink>,
    pub(crate) metrics: &'a Arc<Metrics>,
}

impl ReplicaRuntime {
    /// Recovers the replica from its data folder and starts the threads of replica and scheduler.
    pub(crate) fn start(deps: &ReplicaDependencies<'_>, seed: u64) -> Outcome<Self> {
        let mut store = open_replica(deps.cfg, MemberId(seed | 1))?;
        let recovered = store.recover()?;
        let cell = Arc::new(Cell::default());
        let mut applied = LogIndex(0);
        if let Some((meta, state)) = &recovered.snapshot {
            CellStateMachine(Arc::clone(&cell)).restore(state)?;
            applied = meta.index;
        }
        let saved = recovered.snapshot.clone();
        let limits = state_limits(deps.cfg);
        let agreement = limits.bound(&agreement_config(deps.cfg));
        let replica = Replica::new(agreement, recovered, seed);
        let member_id = replica.id();
        deps.events.emit(
            &Event::info("replica_recovered")
                .index(replica.last_index())
                .term(replica.term())
                .detail(format!("member {member_id}")),
        );

        let polls = Arc::new(PollTable::new(Arc::clone(deps.clock)));
        let cell_clock = Arc::new(CellClock::new(Arc::clone(deps.clock)));
        let (scheduler, rx) = SchedulerHandle::channel();
        let sink = LeaderSink::new(
            scheduler.clone(),
            Arc::clone(&polls),
            Arc::clone(&cell),
            Arc::clone(&cell_clock),
            Arc::clone(deps.events),
        );
        let parts = ReplicaParts {
            replica,
            limits,
            saved_snapshot: saved,
            state: Arc::new(CellStateMachine(Arc::clone(&cell))),
            clock: Arc::clone(deps.clock),
            links: Arc::clone(deps.links),
            sink: Arc::new(sink),
            leader_hint: Arc::clone(deps.leader_hint),
            events: Arc::clone(deps.events),
            metrics: Arc::clone(deps.metrics),
        };
        let (handle, replica_thread) = ReplicaDriver::start(parts, Box::new(store), applied);
        let parts = SchedulerParts {
            scheduler: new_scheduler(deps.cfg, Arc::clone(&cell)),
            replica: handle.clone(),
            routes: Arc::clone(deps.routes),
            cell: Arc::clone(&cell),
            clock: Arc::clone(deps.clock),
            cell_clock: Arc::clone(&cell_clock),
            events: Arc::clone(deps.events),
            metrics: Arc::clone(deps.metrics),
        };
        let scheduler_thread = SchedulerLoop::start(parts, scheduler.clone(), rx);
        Ok(Self {
            endpoint: ReplicaEndpoint {
                member_id,
                handle,
                scheduler,
            },
            cell,
            polls,
            cell_clock,
            threads: vec![scheduler_thread, replica_thread],
        })
    }

    /// Returns the operations that this host answers while its replica leads.
    pub(crate) fn local_leader(&self, deps: &ReplicaDependencies<'_>) -> LocalLeader {
        LocalLeader::new(
            deps.cfg.name.clone(),
            self.endpoint.handle.clone(),
            Arc::clone(&self.cell),
            self.endpoint.scheduler.clone(),
            Arc::clone(&self.cell_clock),
            Arc::clone(&self.polls),
            Arc::clone(deps.metrics),
        )
    }

    /// Stops the threads. Nothing has to be flushed: all acknowledged writes are on disk already.
    pub(crate) fn stop(self) {
        self.endpoint.scheduler.stop();
        self.endpoint.handle.stop();
        for thread in self.threads {
            // A thread that panicked has already logged the cause.
            let _panicked = thread.join();
        }
    }
}

/// Joins the group as a learner whenever the leader's member list lacks this replica.
///
/// The list lacks a new replica, and one that was replaced after a long silence: the group does not
/// notify a member that it removes.
pub(crate) async fn keep_membership(
    core: Arc<HostCore>,
    member_id: MemberId,
    stop: CancellationToken,
) {
    let mut due = interval(MEMBERSHIP_CHECK_INTERVAL);
    while stop.run_until_cancelled(due.tick()).await.is_some() {
        let Ok(group) = core.group(MEMBERSHIP_CHECK_INTERVAL).await else {
            continue;
        };
        if group
            .members
            .iter()
            .any(|member| member.member == member_id)
        {
            continue;
        }
        if core
            .join(member_id, MEMBERSHIP_CHECK_INTERVAL)
            .await
            .is_ok()
        {
            let event = Event::info("joined_as_learner");
            core.events
                .emit(&event.detail(format!("member {member_id}")));
        }
    }
}

fn agreement_config(cfg: &HostSettings) -> Config {
    Config {
        heartbeat_interval: cfg.timing.heartbeat_interval,
        election_min: cfg.timing.election_min,
        election_max: cfg.timing.election_max,
        leader_lease: cfg.timing.leader_lease,
        ..Config::default()
    }
}

pub(crate) fn state_limits(cfg: &HostSettings) -> StateLimits {
    let bytes = |mb: u32| u64::from(mb) << 20;
    StateLimits::new(bytes(cfg.limits.disk_mb), bytes(cfg.limits.memory_mb))
}

fn new_scheduler(cfg: &HostSettings, cell: Arc<Cell>) -> Scheduler {
    let weights = PolicyWeights {
        wait: u32::from(cfg.policy.wait),
        packing: u32::from(cfg.policy.packing),
        spread: u32::from(cfg.policy.spread),
        locality: u32::from(cfg.policy.locality),
    };
    let config = SchedulerConfig {
        worker_lease: cfg.timing.worker_lease,
        ..SchedulerConfig::default()
    };
    Scheduler::new(config, cell, Arc::new(IndexedPlacer::new(weights)))
}
