use std::{
    sync::{Arc, mpsc::channel},
    thread::JoinHandle,
};

use parking_lot::Mutex;
use tarragon_agreement::{Recovered, Replica};
use tarragon_codes::Outcome;
use tarragon_discovery::LeaderHint;
use tarragon_dispatch::{DispatchConfig, Dispatcher};
use tarragon_names::{LogIndex, MemberId};
use tarragon_replica::{Clock, ReplicaDriver, ReplicaHandle, ReplicaParts, StateMachine};
use tarragon_storage::{FileStore, LogStore};
use tarragon_telemetry::Event;
use tarragon_workflow::WorkflowState;
use tokio::runtime::Handle;
use tokio_util::sync::CancellationToken;

use crate::{
    EntryConfig, EntryParts, WorkflowLog,
    available_tasks::AvailableTasks,
    delivery::Delivery,
    dispatch_handle::DispatchHandle,
    dispatch_loop::{DispatchLoop, DispatchParts},
    dispatch_sink::DispatchSink,
    heartbeat_tracker::HeartbeatTracker,
    leader_service::LeaderService,
    mesh::Mesh,
    task_admission::TaskAdmission,
    unstarted_jobs::UnstartedJobs,
    voter_manager::VoterManager,
};

/// The running replica of a host, with the dispatcher and the service that use it.
#[derive(Debug)]
pub(crate) struct ActiveReplica {
    pub(crate) id: MemberId,
    pub(crate) handle: ReplicaHandle<WorkflowLog>,
    pub(crate) leader_service: LeaderService,
    pub(crate) available_tasks: Arc<AvailableTasks>,
    pub(crate) threads: Mutex<Vec<JoinHandle<()>>>,
}

/// Parts of the host that its replica uses.
pub(crate) struct ReplicaContext<'a> {
    pub(crate) cfg: &'a EntryConfig,
    pub(crate) parts: &'a EntryParts,
    pub(crate) clock: &'a Arc<dyn Clock>,
    pub(crate) mesh: &'a Arc<Mesh>,
    pub(crate) leader_hint: &'a Arc<LeaderHint>,
    pub(crate) stop: &'a CancellationToken,
}

impl ReplicaContext<'_> {
    /// Starts the threads of the replica and of the dispatcher.
    pub(crate) fn start_replica(
        &self,
        store: FileStore,
        recovered: Recovered,
        seed: u64,
    ) -> Outcome<ActiveReplica> {
        let timing = &self.cfg.timing;
        let workflow_state = Arc::new(WorkflowState::new(timing.ended_job_retention_ms()));
        let state = Arc::new(WorkflowLog(Arc::clone(&workflow_state)));
        let mut applied_index = LogIndex(0);
        if let Some((meta, snapshot)) = &recovered.snapshot {
            state.restore(snapshot)?;
            applied_index = meta.index;
        }
        let saved = recovered.snapshot.clone();
        let agreement = self.cfg.state_limits.bound(&timing.agreement_config());
        let replica = Replica::new(agreement, recovered, seed);
        let id = replica.id();
        let event = Event::info("replica_recovered").index(replica.last_index());
        let sizes = store.sizes();
        let event = event.term(replica.term()).detail(format!(
            "member {id}, log {} bytes, snapshot {} bytes",
            sizes.log_bytes, sizes.snapshot_bytes
        ));
        self.parts.events.emit(&event);
        let (tx, rx) = channel();
        let dispatch = DispatchHandle::new(tx);
        let replica_parts = ReplicaParts {
            replica,
            limits: self.cfg.state_limits,
            saved_snapshot: saved,
            state,
            clock: Arc::clone(self.clock),
            links: Arc::clone(&self.mesh.links),
            sink: Arc::new(DispatchSink(dispatch.clone())),
            leader_hint: Arc::clone(self.leader_hint),
            events: Arc::clone(&self.parts.events),
            metrics: Arc::clone(&self.parts.replica_metrics),
        };
        for member in replica_parts.replica.members().by_id.values() {
            self.mesh.connect(&member.host);
        }
        let (handle, replica_thread) =
            ReplicaDriver::start(replica_parts, Box::new(store), applied_index);
        let available_tasks = Arc::new(AvailableTasks::default());
        let unstarted_jobs = Arc::new(UnstartedJobs::default());
        let dispatch_config = DispatchConfig {
            avoids_interference: self.cfg.avoids_interference,
            ..timing.dispatch_config()
        };
        let dispatch_parts = DispatchParts {
            workflow_state: Arc::clone(&workflow_state),
            available_tasks: Arc::clone(&available_tasks),
            unstarted_jobs: Arc::clone(&unstarted_jobs),
            dispatcher: Dispatcher::new(dispatch_config, Arc::clone(&workflow_state)),
            handle: dispatch.clone(),
            replica: handle.clone(),
            mesh: Arc::clone(self.mesh),
            external: self.parts.external.clone(),
            clock: Arc::clone(self.clock),
            events: Arc::clone(&self.parts.events),
            metrics: self.parts.metrics.clone(),
            runtime: Handle::current(),
            stop: self.stop.clone(),
        };
        let delivery = Delivery::new(
            timing.delivery_limits(),
            Arc::clone(self.mesh),
            Arc::clone(&workflow_state),
            Arc::clone(&self.parts.events),
            self.parts.metrics.clone(),
            seed,
        );
        let dispatch_thread = DispatchLoop::start(dispatch_parts, delivery, rx);
        let voter_manager = Arc::new(VoterManager::new(
            handle.clone(),
            Arc::clone(&self.parts.events),
            self.cfg.target_voters(),
            timing.replace_after(),
        ));
        let leader_service = LeaderService {
            workflow_state,
            replica: handle.clone(),
            dispatch,
            clock: Arc::clone(self.clock),
            leader_hint: Arc::clone(self.leader_hint),
            events: Arc::clone(&self.parts.events),
            metrics: self.parts.metrics.clone(),
            voter_manager,
            unstarted_jobs,
            task_admission: TaskAdmission::new(self.cfg.state_limits),
            heartbeats: HeartbeatTracker::default(),
            heartbeat_address: self.cfg.heartbeat_address.clone(),
            commit_timeout: timing.call_attempt_timeout(),
        };
        Ok(ActiveReplica {
            id,
            handle,
            leader_service,
            available_tasks,
            threads: Mutex::new(vec![dispatch_thread, replica_thread]),
        })
    }
}
