use std::{collections::HashMap, sync::Arc};

use tarragon_leases::WorkerOrder;
use tarragon_names::{HostName, WorkerName};
use tarragon_shard::Sharded;
use tarragon_wire::peer::PeerEvent;

use crate::WorkerGateway;
use tarragon_replica::Links;

/// Shards of the table of gateways.
const SHARDS: usize = 16;

/// Ways from the leader to the workers: the gateway through which each last reported.
#[derive(Debug)]
pub struct OrderRoutes {
    gateways: Sharded<HashMap<WorkerName, HostName>>,
    own: Arc<WorkerGateway>,
    links: Arc<Links>,
}

impl OrderRoutes {
    /// Routes over the own gateway and the links to the others.
    pub fn new(own: Arc<WorkerGateway>, links: Arc<Links>) -> Self {
        Self {
            gateways: Sharded::new(SHARDS, |_| HashMap::new()),
            own,
            links,
        }
    }

    /// Notes the gateway through which a worker reported.
    pub fn reported(&self, worker: &WorkerName, gateway: &HostName) {
        self.gateways
            .with(worker, |shard| match shard.get_mut(worker) {
                Some(known) if known == gateway => {}
                Some(known) => known.clone_from(gateway),
                None => {
                    shard.insert(worker.clone(), gateway.clone());
                }
            });
    }

    /// Sends an order to a worker; it may be lost.
    pub fn send(&self, worker: &WorkerName, order: WorkerOrder) {
        let Some(gateway) = self
            .gateways
            .with(worker, |shard| shard.get(worker).cloned())
        else {
            return;
        };
        if gateway == *self.links.own() {
            self.own.send(worker, order);
        } else {
            self.links.send(
                &gateway,
                PeerEvent::Down {
                    worker: worker.clone(),
                    order,
                },
            );
        }
    }
}
