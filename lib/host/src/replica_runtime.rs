use std::{sync::Arc, thread::JoinHandle, time::Duration};

use tarragon_agreement::{Config, Replica};
use tarragon_cell::Cell;
use tarragon_codes::Outcome;
use tarragon_names::{LogIndex, MemberId};
use tarragon_placement::{IndexedPlacer, PolicyWeights};
use tarragon_scheduler::{Scheduler, SchedulerConfig};
use tarragon_settings::HostSettings;
use tarragon_storage::LogStore;
use tarragon_telemetry::{Event, EventSink, Metrics};
use tokio::time::interval;
use tokio_util::sync::CancellationToken;

use crate::{
    CellLog, CellTime, HostCore, InboundReplica, LeaderSink, LocalLeader, OrderRoutes, PollTable,
    SchedulerHandle, SchedulerLoop, SchedulerParts, replica_disk::open_replica,
};
use tarragon_replica::{Clock, LeaderHint, Links, ReplicaDriver, ReplicaParts, StateMachine};

/// Time between two looks at whether this replica is a member.
const MEMBERSHIP_CHECK: Duration = Duration::from_millis(2_000);

/// Threads and handles of the replica of a host.
#[derive(Debug)]
pub(crate) struct ReplicaRuntime {
    pub(crate) inbound: InboundReplica,
    cell: Arc<Cell>,
    polls: Arc<PollTable>,
    time: Arc<CellTime>,
    threads: Vec<JoinHandle<()>>,
}

/// What a replica takes from the rest of the host.
pub(crate) struct Surroundings<'a> {
    pub(crate) cfg: &'a HostSettings,
    pub(crate) clock: &'a Arc<dyn Clock>,
    pub(crate) links: &'a Arc<Links>,
    pub(crate) hint: &'a Arc<LeaderHint>,
    pub(crate) routes: &'a Arc<OrderRoutes>,
    pub(crate) events: &'a Arc<dyn EventSink>,
    pub(crate) metrics: &'a Arc<Metrics>,
}

impl ReplicaRuntime {
    /// Recovers the replica from its disk and starts its threads.
    pub(crate) fn start(host: &Surroundings<'_>, seed: u64) -> Outcome<Self> {
        let mut store = open_replica(host.cfg, MemberId(seed | 1))?;
        let recovered = store.recover()?;
        let cell = Arc::new(Cell::default());
        let mut applied = LogIndex(0);
        if let Some((meta, state)) = &recovered.snapshot {
            CellLog(Arc::clone(&cell)).restore(state)?;
            applied = meta.index;
        }
        let saved = recovered.snapshot.clone();
        let replica = Replica::new(agreement_config(host.cfg), recovered, seed);
        let id = replica.id();
        host.events.emit(
            &Event::info("replica_recovered")
                .index(replica.last_index())
                .term(replica.term())
                .detail(format!("member {id}")),
        );

        let polls = Arc::new(PollTable::new(Arc::clone(host.clock)));
        let time = Arc::new(CellTime::new(Arc::clone(host.clock)));
        let (scheduler, rx) = SchedulerHandle::channel();
        let sink = LeaderSink::new(
            scheduler.clone(),
            Arc::clone(&polls),
            Arc::clone(&cell),
            Arc::clone(&time),
            Arc::clone(host.events),
        );
        let parts = ReplicaParts {
            replica,
            store: Box::new(store),
            saved,
            state: Arc::new(CellLog(Arc::clone(&cell))),
            clock: Arc::clone(host.clock),
            links: Arc::clone(host.links),
            sink: Arc::new(sink),
            hint: Arc::clone(host.hint),
            events: Arc::clone(host.events),
            metrics: Arc::clone(host.metrics),
        };
        let (handle, replica_thread) = ReplicaDriver::start(parts, applied);
        let parts = SchedulerParts {
            scheduler: scheduler_of(host.cfg, Arc::clone(&cell)),
            replica: handle.clone(),
            routes: Arc::clone(host.routes),
            cell: Arc::clone(&cell),
            clock: Arc::clone(host.clock),
            time: Arc::clone(&time),
            events: Arc::clone(host.events),
            metrics: Arc::clone(host.metrics),
        };
        let scheduler_thread = SchedulerLoop::start(parts, scheduler.clone(), rx);
        Ok(Self {
            inbound: InboundReplica {
                id,
                handle,
                scheduler,
            },
            cell,
            polls,
            time,
            threads: vec![scheduler_thread, replica_thread],
        })
    }

    /// Operations that this replica answers while it leads.
    pub(crate) fn leader(&self, host: &Surroundings<'_>) -> LocalLeader {
        LocalLeader::new(
            host.cfg.name.clone(),
            self.inbound.handle.clone(),
            Arc::clone(&self.cell),
            self.inbound.scheduler.clone(),
            Arc::clone(&self.time),
            Arc::clone(&self.polls),
            Arc::clone(host.metrics),
        )
    }

    /// Ends the threads; everything that was answered is on disk already.
    pub(crate) fn stop(self) {
        self.inbound.scheduler.stop();
        self.inbound.handle.stop();
        for thread in self.threads {
            // A thread that panicked has logged its cause.
            let _panicked = thread.join();
        }
    }
}

/// Joins the group as a learner whenever the leader's list lacks this member.
///
/// That is so for a new member, and for one that was silent for so long that it was replaced: the
/// group does not tell it.
pub(crate) async fn keep_membership(core: Arc<HostCore>, id: MemberId, stop: CancellationToken) {
    let mut due = interval(MEMBERSHIP_CHECK);
    while stop.run_until_cancelled(due.tick()).await.is_some() {
        let Ok(group) = core.group(MEMBERSHIP_CHECK).await else {
            continue;
        };
        if group.members.iter().any(|member| member.member == id) {
            continue;
        }
        if core.join(id, MEMBERSHIP_CHECK).await.is_ok() {
            let event = Event::info("joined_as_learner");
            core.events.emit(&event.detail(format!("member {id}")));
        }
    }
}

fn agreement_config(cfg: &HostSettings) -> Config {
    Config {
        heartbeat_interval: cfg.timing.heartbeat,
        election_min: cfg.timing.election_min,
        election_max: cfg.timing.election_max,
        leader_lease: cfg.timing.leader_lease,
        ..Config::default()
    }
}

fn scheduler_of(cfg: &HostSettings, cell: Arc<Cell>) -> Scheduler {
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
