use std::{collections::HashMap, fmt::Debug, sync::Arc, time::Duration};

use tarragon_leases::{WorkerOrder, WorkerReport};
use tarragon_names::WorkerName;
use tarragon_shard::Sharded;
use tarragon_wire::{
    MAX_WORKER_FRAME,
    worker::{DownFrame, UpFrame},
};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::{Semaphore, mpsc},
    time::timeout,
};
use tokio_util::sync::CancellationToken;

use crate::LinkMeter;

/// Shards of the table of connections.
const SHARDS: usize = 16;

/// Orders that may wait for one worker; more are dropped, since the leader resends.
const QUEUE: usize = 1_024;

/// Receiver of what the connected workers report.
pub trait ReportSink: Debug + Send + Sync {
    /// Takes a report.
    fn report(&self, worker: WorkerName, report: WorkerReport);
}

/// Connections of the workers that use this host as their gateway.
#[derive(Debug)]
pub struct WorkerGateway {
    connections: Sharded<HashMap<WorkerName, Connection>>,
    silent: Duration,
    capacity: Arc<Semaphore>,
    meter: Arc<LinkMeter>,
}

#[derive(Debug)]
struct Connection {
    generation: u64,
    tx: mpsc::Sender<WorkerOrder>,
}

impl WorkerGateway {
    /// A gateway that closes connections on which nothing arrives for `silent`.
    pub fn new(silent: Duration, max_connections: usize, meter: Arc<LinkMeter>) -> Self {
        Self {
            connections: Sharded::new(SHARDS, |_| HashMap::new()),
            silent,
            capacity: Arc::new(Semaphore::new(max_connections)),
            meter,
        }
    }

    /// Sends an order to a connected worker; it may be lost.
    pub fn send(&self, worker: &WorkerName, order: WorkerOrder) {
        self.connections.with(worker, |shard| {
            if let Some(connection) = shard.get(worker) {
                // A full queue drops the order; the leader repeats what is not answered.
                let _dropped = connection.tx.try_send(order);
            }
        });
    }

    /// Sends an order to all connected workers.
    pub fn send_all(&self, order: &WorkerOrder) {
        self.connections.for_each(|shard| {
            for connection in shard.values() {
                let _dropped = connection.tx.try_send(order.clone());
            }
        });
    }

    /// Number of connected workers.
    pub fn connected(&self) -> usize {
        let mut count = 0;
        self.connections.for_each(|shard| count += shard.len());
        count
    }

    /// Accepts workers until the stop.
    pub async fn run(
        self: Arc<Self>,
        listener: TcpListener,
        sink: Arc<dyn ReportSink>,
        stop: CancellationToken,
    ) {
        let mut generation = 0;
        while let Some(accepted) = stop.run_until_cancelled(listener.accept()).await {
            let Ok((stream, _)) = accepted else { continue };
            // Beyond the bound the connection is closed at once and the worker tries another host.
            let Ok(permit) = Arc::clone(&self.capacity).try_acquire_owned() else {
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
        let mut frames = tarragon_wire::frames(stream, MAX_WORKER_FRAME);
        let (tx, mut rx) = mpsc::channel(QUEUE);
        let mut known = None;
        loop {
            tokio::select! {
                order = rx.recv() => {
                    let Some(order) = order else { break };
                    let frame = DownFrame::new(&order);
                    self.meter.worker_frame(frame.len());
                    let sent = timeout(self.silent, tarragon_wire::write(&mut frames, &frame));
                    let Ok(Ok(())) = sent.await else { break };
                }
                frame = timeout(self.silent, tarragon_wire::read::<_, UpFrame>(&mut frames)) => {
                    let Ok(Ok(Some(frame))) = frame else { break };
                    self.meter.worker_frame(frame.len());
                    let Ok((worker, report)) = frame.parts() else { break };
                    if known.is_none() {
                        self.connect(&worker, generation, &tx);
                        known = Some(worker.clone());
                    }
                    if known.as_ref() != Some(&worker) {
                        break;
                    }
                    if let Some(report) = report {
                        sink.report(worker, report);
                    }
                }
            }
        }
        if let Some(worker) = known {
            self.disconnect(&worker, generation);
        }
    }

    /// Makes this the connection of the worker; an older one gets no more orders.
    fn connect(&self, worker: &WorkerName, generation: u64, tx: &mpsc::Sender<WorkerOrder>) {
        let connection = Connection {
            generation,
            tx: tx.clone(),
        };
        self.connections
            .with(worker, |shard| shard.insert(worker.clone(), connection));
    }

    fn disconnect(&self, worker: &WorkerName, generation: u64) {
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
