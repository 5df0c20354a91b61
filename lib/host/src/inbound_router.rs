use std::sync::Arc;

use tarragon_discovery::LeaderHint;
use tarragon_leases::WorkerReport;
use tarragon_names::{HostName, MemberId, WorkerName};
use tarragon_proxy::Proxy;
use tarragon_wire::peer::PeerEvent;

use crate::{CellStateMachine, OrderRoutes, ReportSink, SchedulerHandle, WorkerGateway};
use tarragon_replica::{Links, PeerSink, ReplicaHandle};

/// Handles through which incoming messages reach the replica and the scheduler of a host.
#[derive(Clone, Debug)]
pub struct ReplicaEndpoint {
    /// Identity of the replica; messages to another identity are dropped.
    pub member_id: MemberId,
    /// Handle of the replica, which receives the messages of other replicas.
    pub handle: ReplicaHandle<CellStateMachine>,
    /// Handle of the scheduler, which uses the reports of workers only while this host leads.
    pub scheduler: SchedulerHandle,
}

/// Passes messages from other hosts and reports from workers on to the parts of this host.
#[derive(Debug)]
pub struct InboundRouter {
    /// Replica of this host; `None` on a host without one.
    pub replica: Option<ReplicaEndpoint>,
    /// Routes that record the gateway of each worker that reports.
    pub routes: Arc<OrderRoutes>,
    /// Gateway through which orders of the leader reach the connected workers.
    pub gateway: Arc<WorkerGateway>,
    /// Links over which reports are sent to the leader on another host.
    pub links: Arc<Links>,
    /// Last known leader, to which the reports of workers are sent.
    pub leader_hint: Arc<LeaderHint>,
    /// Proxy that receives the load summaries of other hosts.
    pub proxy: Arc<Proxy>,
}

impl InboundRouter {
    /// Passes a report on to the scheduler of this host.
    ///
    /// The scheduler ignores the report if this host does not lead; the worker repeats it.
    fn report_to_scheduler(&self, gateway: &HostName, worker: WorkerName, report: WorkerReport) {
        if let Some(replica) = &self.replica {
            self.routes.record_gateway(&worker, gateway);
            replica.scheduler.report(worker, report);
        }
    }
}

impl PeerSink for InboundRouter {
    fn receive(&self, host: &HostName, event: PeerEvent) {
        match event {
            PeerEvent::Agreement { from, to, msg } => {
                if let Some(replica) = self
                    .replica
                    .as_ref()
                    .filter(|replica| replica.member_id == to)
                {
                    replica.handle.receive(host.clone(), from, msg);
                }
            }
            PeerEvent::Report { worker, report } => self.report_to_scheduler(host, worker, report),
            PeerEvent::Order { worker, order } => self.gateway.send(&worker, order),
            PeerEvent::Load(load) => self.proxy.update_load_summary(load),
            // The hosts of a cell do not send these: they call one another through the `Control`
            // service, and their workers call them.
            PeerEvent::Call { .. }
            | PeerEvent::Answer { .. }
            | PeerEvent::Orders(_)
            | PeerEvent::OrderResults(_) => {}
        }
    }
}

impl ReportSink for InboundRouter {
    fn report(&self, worker: WorkerName, report: WorkerReport) {
        let Some(leader) = self.leader_hint.get() else {
            return;
        };
        if leader == *self.links.own_host() {
            self.report_to_scheduler(&leader, worker, report);
        } else {
            self.links
                .send(&leader, PeerEvent::Report { worker, report });
        }
    }
}
