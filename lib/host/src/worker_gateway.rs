use std::{collections::HashMap, fmt::Debug, sync::Arc, time::Duration};

use tarragon_leases::{WorkerOrder, WorkerReport};
use tarragon_names::WorkerName;
use tarragon_shard::Sharded;
use tarragon_wire::{
    MAX_WORKER_FRAME_BYTES,
    worker::{OrderFrame, ReportFrame},
};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::{Semaphore, mpsc},
    time::timeout,
};
use tokio_util::sync::CancellationToken;

use crate::LinkMeter;

/// Number of shards of the connection table.
const CONNECTION_SHARDS: usize = 16;

/// Maximum number of orders queued for one worker; more are dropped, and the leader resends them.
const ORDER_QUEUE_CAPACITY: usize = 1_024;

/// Receiver of the reports of connected workers.
pub trait ReportSink: Debug + Send + Sync {
    /// Handles a report that arrived from `worker`.
    fn report(&self, worker: WorkerName, report: WorkerReport);
}

/// Connections of the workers that use this host as their gateway.
#[derive(Debug)]
pub struct WorkerGateway {
    connections: Sharded<HashMap<WorkerName, Connection>>,
    silence_timeout: Duration,
    connection_permits: Arc<Semaphore>,
    meter: Arc<LinkMeter>,
}

#[derive(Debug)]
struct Connection {
    /// Number of the connection, by which the end of an older connection leaves this one registered.
    generation: u64,
    tx: mpsc::Sender<WorkerOrder>,
}

impl WorkerGateway {
    /// Creates a gateway that accepts up to `max_connections` connections and closes those on which
    /// nothing arrives for `silence_timeout`.
    pub fn new(silence_timeout: Duration, max_connections: usize, meter: Arc<LinkMeter>) -> Self {
        Self {
            connections: Sharded::new(CONNECTION_SHARDS, |_| HashMap::new()),
            silence_timeout,
            connection_permits: Arc::new(Semaphore::new(max_connections)),
            meter,
        }
    }

    /// Sends an order to a worker if it is connected, without a guarantee of delivery.
    pub fn send(&self, worker: &WorkerName, order: WorkerOrder) {
        self.connections.with(worker, |shard| {
            if let Some(connection) = shard.get(worker) {
                // An order is dropped if the queue is full; the leader resends unanswered orders.
                let _dropped = connection.tx.try_send(order);
            }
        });
    }

    /// Sends an order to all connected workers, without a guarantee of delivery.
    pub fn send_all(&self, order: &WorkerOrder) {
        self.connections.for_each(|shard| {
            for connection in shard.values() {
                let _dropped = connection.tx.try_send(order.clone());
            }
        });
    }

    /// Returns the number of connected workers.
    pub fn connected_workers(&self) -> usize {
        let mut count = 0;
        self.connections.for_each(|shard| count += shard.len());
        count
    }

    /// Accepts connections of workers until `stop` is cancelled.
    pub async fn run(
        self: Arc<Self>,
        listener: TcpListener,
        sink: Arc<dyn ReportSink>,
        stop: CancellationToken,
    ) {
        let mut generation = 0;
        while let Some(accepted) = stop.run_until_cancelled(listener.accept()).await {
            let Ok((stream, _)) = accepted else { continue };
            // Beyond the limit a connection is closed at once, and the worker tries another host.
            let Ok(permit) = Arc::clone(&self.connection_permits).try_acquire_owned() else {
                continue;
            };
            generation += 1;
            let (gateway, sink, stop) = (Arc::clone(&self), Arc::clone(&sink), stop.clone());
            tokio::spawn(async move {
                let served = gateway.serve(stream, generation, sink);
                stop.run_until_cancelled(served).await;
                drop(permit);
            });
        }
    }

    async fn serve(&self, stream: TcpStream, generation: u64, sink: Arc<dyn ReportSink>) {
        if stream.set_nodelay(true).is_err() {
            return;
        }
        let mut frames = tarragon_wire::frames(stream, MAX_WORKER_FRAME_BYTES);
        let (tx, mut rx) = mpsc::channel(ORDER_QUEUE_CAPACITY);
        let mut registered = None;
        loop {
            tokio::select! {
                order = rx.recv() => {
                    let Some(order) = order else { break };
                    let frame = OrderFrame::new(&order);
                    self.meter.count_worker_frame(frame.len());
                    let sent = timeout(self.silence_timeout, tarragon_wire::write(&mut frames, &frame));
                    let Ok(Ok(())) = sent.await else { break };
                }
                frame = timeout(self.silence_timeout, tarragon_wire::read::<_, ReportFrame>(&mut frames)) => {
                    let Ok(Ok(Some(frame))) = frame else { break };
                    self.meter.count_worker_frame(frame.len());
                    let Ok((worker, report)) = frame.into_parts() else { break };
                    if registered.is_none() {
                        self.register(&worker, generation, &tx);
                        registered = Some(worker.clone());
                    }
                    if registered.as_ref() != Some(&worker) {
                        break;
                    }
                    if let Some(report) = report {
                        sink.report(worker, report);
                    }
                }
            }
        }
        if let Some(worker) = registered {
            self.unregister(&worker, generation);
        }
    }

    /// Registers a connection of the worker; an older connection receives no more orders.
    fn register(&self, worker: &WorkerName, generation: u64, tx: &mpsc::Sender<WorkerOrder>) {
        let connection = Connection {
            generation,
            tx: tx.clone(),
        };
        self.connections
            .with(worker, |shard| shard.insert(worker.clone(), connection));
    }

    fn unregister(&self, worker: &WorkerName, generation: u64) {
        self.connections.with(worker, |shard| {
            if shard
                .get(worker)
                .is_some_and(|connection| connection.generation == generation)
            {
                shard.remove(worker);
            }
        });
    }
}
