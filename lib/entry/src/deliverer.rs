use std::{collections::HashMap, sync::Arc, time::Duration};

use parking_lot::Mutex;
use tarragon_names::HostName;
use tarragon_telemetry::{Event, EventSink};
use tarragon_wire::peer::PeerEvent;
use tokio::time::sleep;

use crate::{
    EntryMetrics, WorkerCalls,
    mesh::{self, Mesh},
    order_batch::{OrderBatch, ResultBatch},
    worker_order::{OrderKey, OrderResult},
};

/// Time for which results are collected before they are sent together.
const RESULT_WINDOW: Duration = Duration::from_millis(5);

/// Carries out the orders that a leader sends to this host, and reports the results.
#[derive(Debug)]
pub(crate) struct Deliverer {
    workers: Arc<dyn WorkerCalls>,
    mesh: Arc<Mesh>,
    metrics: EntryMetrics,
    events: Arc<dyn EventSink>,
    /// Results that wait to be sent, by the host that gave the orders.
    results: Mutex<HashMap<HostName, Vec<(u64, OrderResult)>>>,
}

impl Deliverer {
    pub(crate) fn new(
        workers: Arc<dyn WorkerCalls>,
        mesh: Arc<Mesh>,
        metrics: EntryMetrics,
        events: Arc<dyn EventSink>,
    ) -> Self {
        Self {
            workers,
            mesh,
            metrics,
            events,
            results: Mutex::default(),
        }
    }

    /// Carries out the orders of a frame from `leader`.
    pub(crate) fn deliver(self: &Arc<Self>, leader: &HostName, body: &[u8]) {
        let batch = match mesh::decode::<OrderBatch>(body) {
            Ok(batch) => batch,
            Err(failure) => {
                let event = Event::warning("orders_unreadable").peer(leader.clone());
                let event = event.code(failure.code.number());
                self.events.emit(&event.detail(failure.cause));
                return;
            }
        };
        for (id, order) in batch.orders {
            let (deliverer, leader) = (Arc::clone(self), leader.clone());
            let key = OrderKey::of(&order);
            tokio::spawn(async move {
                let workers = Arc::clone(&deliverer.workers);
                let report = |result| {
                    deliverer.metrics.count_result(key.label(), &result);
                    deliverer.add_result(leader.clone(), id, result);
                };
                order.send(workers.as_ref(), report).await;
            });
        }
    }

    /// Queues a result. The first one in the queue is sent, with those that follow it, after
    /// [`RESULT_WINDOW`].
    fn add_result(self: &Arc<Self>, leader: HostName, id: u64, result: OrderResult) {
        let mut results = self.results.lock();
        let queue = results.entry(leader.clone()).or_default();
        queue.push((id, result));
        if queue.len() > 1 {
            return;
        }
        drop(results);
        let deliverer = Arc::clone(self);
        tokio::spawn(async move {
            sleep(RESULT_WINDOW).await;
            deliverer.send_results(&leader);
        });
    }

    fn send_results(&self, leader: &HostName) {
        let Some(results) = self.results.lock().remove(leader) else {
            return;
        };
        self.mesh.connect(leader);
        match mesh::encode(&ResultBatch { results }) {
            Ok(body) => self.mesh.links.send(leader, PeerEvent::OrderResults(body)),
            Err(failure) => {
                let event = Event::error("results_not_encoded").code(failure.code.number());
                self.events.emit(&event.detail(failure.cause));
            }
        }
    }
}
