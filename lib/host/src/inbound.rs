use std::sync::Arc;

use tarragon_leases::WorkerReport;
use tarragon_names::{HostName, MemberId, WorkerName};
use tarragon_proxy::Proxy;
use tarragon_wire::peer::PeerEvent;

use crate::{CellLog, OrderRoutes, ReportSink, SchedulerHandle, WorkerGateway};
use tarragon_replica::{LeaderHint, Links, PeerSink, ReplicaHandle};

/// The replica of a host as messages reach it.
#[derive(Clone, Debug)]
pub struct InboundReplica {
    /// Its identity; messages to another one are dropped.
    pub id: MemberId,
    /// The replica.
    pub handle: ReplicaHandle<CellLog>,
    /// The scheduler, which hears the workers while this host leads.
    pub scheduler: SchedulerHandle,
}

/// Passes on what arrives from other hosts and from workers.
#[derive(Debug)]
pub struct Inbound {
    /// Replica of this host, if it is one.
    pub replica: Option<InboundReplica>,
    /// Ways to the workers.
    pub routes: Arc<OrderRoutes>,
    /// Connected workers.
    pub gateway: Arc<WorkerGateway>,
    /// Links to the other hosts.
    pub links: Arc<Links>,
    /// Leader as far as it is known.
    pub hint: Arc<LeaderHint>,
    /// Path of service requests.
    pub proxy: Arc<Proxy>,
}

impl Inbound {
    /// Hands a report to the scheduler of this host.
    ///
    /// A scheduler that does not lead ignores it, and the worker repeats it.
    fn to_scheduler(&self, gateway: &HostName, worker: WorkerName, report: WorkerReport) {
        if let Some(replica) = &self.replica {
            self.routes.reported(&worker, gateway);
            replica.scheduler.report(worker, report);
        }
    }
}

impl PeerSink for Inbound {
    fn receive(&self, host: &HostName, event: PeerEvent) {
        match event {
            PeerEvent::Agreement { from, to, msg } => {
                if let Some(replica) = self.replica.as_ref().filter(|replica| replica.id == to) {
                    replica.handle.message(host.clone(), from, msg);
                }
            }
            PeerEvent::Up { worker, report } => self.to_scheduler(host, worker, report),
            PeerEvent::Down { worker, order } => self.gateway.send(&worker, order),
            PeerEvent::Load(load) => self.proxy.update_load_summary(load),
            // The hosts of a cell call one another over the service `Control`.
            PeerEvent::Call { .. } | PeerEvent::Answer { .. } => {}
        }
    }
}

impl ReportSink for Inbound {
    fn report(&self, worker: WorkerName, report: WorkerReport) {
        let Some(leader) = self.hint.get() else {
            return;
        };
        if leader == *self.links.own() {
            self.to_scheduler(&leader, worker, report);
        } else {
            self.links.send(&leader, PeerEvent::Up { worker, report });
        }
    }
}
