use std::{
    collections::HashMap,
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
    time::{Duration, Instant},
};

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tarragon_codes::{Code, Failure, Outcome};
use tarragon_names::ExecutorName;
use tarragon_routing::Grant;
use tarragon_shard::Sharded;
use tokio::{net::TcpStream, time::timeout};

use crate::counters::{Counters, count};

/// Shards of the idle connections.
const SHARDS: usize = 16;

/// An open connection to an executor; it closes when it is dropped.
#[derive(Debug)]
pub(crate) struct Connection {
    pub(crate) sender: SendRequest<Full<Bytes>>,
    epoch: u64,
    address: String,
}

#[derive(Debug)]
struct Idle {
    connection: Connection,
    since: Instant,
}

#[derive(Debug, Default)]
struct Executor {
    idle: Vec<Idle>,
    open: Arc<AtomicU32>,
}

/// Counts a connection as open until its task has ended.
#[derive(Debug)]
struct Open(Arc<AtomicU32>);

impl Drop for Open {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Connections to executors, bounded by what each executor accepts.
#[derive(Debug)]
pub(crate) struct Connections {
    idle_max: Duration,
    connect_timeout: Duration,
    counters: Arc<Counters>,
    executors: Sharded<HashMap<ExecutorName, Executor>>,
}

impl Connections {
    pub(crate) fn new(
        idle_max: Duration,
        connect_timeout: Duration,
        counters: Arc<Counters>,
    ) -> Self {
        Self {
            idle_max,
            connect_timeout,
            counters,
            executors: Sharded::new(SHARDS, |_| HashMap::new()),
        }
    }

    /// Takes the idle connection that was used last, if one is usable.
    pub(crate) fn idle(&self, grant: &Grant) -> Option<Connection> {
        self.executors.with(&grant.executor, |executors| {
            let known = executors.get_mut(&grant.executor)?;
            while let Some(Idle { connection, since }) = known.idle.pop() {
                let usable = connection.epoch == grant.epoch
                    && connection.address == grant.address
                    && since.elapsed() < self.idle_max
                    && connection.sender.is_ready();
                if usable {
                    return Some(connection);
                }
            }
            None
        })
    }

    /// Opens a connection.
    pub(crate) async fn open(&self, grant: &Grant) -> Outcome<Connection> {
        let open = self.executors.with(&grant.executor, |executors| {
            let known = executors.entry(grant.executor.clone()).or_default();
            Arc::clone(&known.open)
        });
        if open.fetch_add(1, Ordering::Relaxed) >= grant.connections {
            open.fetch_sub(1, Ordering::Relaxed);
            return Err(Failure::new(
                Code::NoSlot,
                format!("all {} connections are open", grant.connections),
            ));
        }
        let open = Open(open);
        let failed = |cause: String| {
            count(&self.counters.connect_failures);
            Failure::new(
                Code::NoExecutor,
                format!("{} at {}: {cause}", grant.executor, grant.address),
            )
        };
        let stream = match timeout(self.connect_timeout, TcpStream::connect(&grant.address)).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(e)) => return Err(failed(e.to_string())),
            Err(_) => return Err(failed("no connection in time".to_owned())),
        };
        // Requests are small and whole, so waiting for more bytes only adds delay.
        let _set = stream.set_nodelay(true);
        let (sender, driver) = match http1::handshake(TokioIo::new(stream)).await {
            Ok(parts) => parts,
            Err(e) => return Err(failed(e.to_string())),
        };
        tokio::spawn(async move {
            // A failed connection shows itself at the request that uses it.
            let _ended = driver.await;
            drop(open);
        });
        count(&self.counters.connections_opened);
        Ok(Connection {
            sender,
            epoch: grant.epoch,
            address: grant.address.clone(),
        })
    }

    /// Keeps a connection on which the last answer arrived whole and in time.
    pub(crate) fn keep(&self, executor: &ExecutorName, connection: Connection) {
        self.executors.with(executor, |executors| {
            executors
                .entry(executor.clone())
                .or_default()
                .idle
                .push(Idle {
                    connection,
                    since: Instant::now(),
                });
        });
    }

    /// Closes the idle connections of an executor that did not answer in time: they may have gone
    /// silent too, so its next request opens a new one.
    pub(crate) fn suspect(&self, executor: &ExecutorName) {
        self.executors.with(executor, |executors| {
            if let Some(known) = executors.get_mut(executor) {
                known.idle.clear();
            }
        });
    }

    /// Closes connections that have been idle for long and forgets executors without any.
    pub(crate) fn sweep(&self) {
        self.executors.for_each(|executors| {
            executors.retain(|_, known| {
                known.idle.retain(|idle| {
                    idle.since.elapsed() < self.idle_max && !idle.connection.sender.is_closed()
                });
                !known.idle.is_empty() || known.open.load(Ordering::Relaxed) > 0
            });
        });
    }
}
