use std::{collections::HashMap, sync::Arc};

use tarragon_leases::WorkerOrder;
use tarragon_names::{HostName, WorkerName};
use tarragon_shard::Sharded;
use tarragon_wire::peer::PeerEvent;

use crate::WorkerGateway;
use tarragon_replica::Links;

/// Number of shards of the gateway table.
const GATEWAY_SHARDS: usize = 16;

/// Routes from the leader to the workers: the gateway through which each worker last reported.
#[derive(Debug)]
pub struct OrderRoutes {
    gateways: Sharded<HashMap<WorkerName, HostName>>,
    own_gateway: Arc<WorkerGateway>,
    links: Arc<Links>,
}

impl OrderRoutes {
    /// Creates routes over this host's gateway and the links to the other hosts.
    pub fn new(own_gateway: Arc<WorkerGateway>, links: Arc<Links>) -> Self {
        Self {
            gateways: Sharded::new(GATEWAY_SHARDS, |_| HashMap::new()),
            own_gateway,
            links,
        }
    }

    /// Records the gateway through which a worker reported.
    pub fn record_gateway(&self, worker: &WorkerName, gateway: &HostName) {
        self.gateways
            .with(worker, |shard| match shard.get_mut(worker) {
                Some(known) if known == gateway => {}
                Some(known) => known.clone_from(gateway),
                None => {
                    shard.insert(worker.clone(), gateway.clone());
                }
            });
    }

    /// Sends an order to a worker, without a guarantee of delivery.
    pub fn send(&self, worker: &WorkerName, order: WorkerOrder) {
        let Some(gateway) = self
            .gateways
            .with(worker, |shard| shard.get(worker).cloned())
        else {
            return;
        };
        if gateway == *self.links.own_host() {
            self.own_gateway.send(worker, order);
        } else {
            self.links.send(
                &gateway,
                PeerEvent::Order {
                    worker: worker.clone(),
                    order,
                },
            );
        }
    }
}
